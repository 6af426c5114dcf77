package io.jacinthquay.model.routing;

import io.jacinthquay.model.RouteName;
import io.jacinthquay.model.Tier;
import java.util.List;
import java.util.Objects;

/**
 * Where requests of one host and path prefix go, and what they may ask for.
 *
 * @param name the route
 * @param host the host that callers name, without port
 * @param pathPrefix the beginning of the path; starts and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time a caller is kept waiting, in milliseconds, 1 or more
 * @param targetMillis time to the first token, or to the answer, that counts as on target, in ms
 * @param tier rank of the requests unless the customer has one
 * @param split pools that share the traffic; at least one has a weight above 0
 * @param maxAttempts most upstreams that one request is sent to, 1 or more
 * @param open whether requests need no key
 * @param promptDescribed whether requests describe their prompt in headers
 * @param resumable whether a broken stream may go on at another upstream
 * @param gapTargetMillis longest pause between events that counts as on target, in ms; 0 for none
 */
public record RouteRule(
    RouteName name,
    String host,
    String pathPrefix,
    RequestKind kind,
    int timeoutMillis,
    int targetMillis,
    Tier tier,
    List<WeightedPool> split,
    int maxAttempts,
    boolean open,
    boolean promptDescribed,
    boolean resumable,
    int gapTargetMillis) {
  /**
   * Copies the list and checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public RouteRule {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(tier, "tier");
    split = List.copyOf(split);
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      throw new IllegalArgumentException("route " + name + ": the prefix is not within slashes");
    }
    if (timeoutMillis < 1 || maxAttempts < 1) {
      throw new IllegalArgumentException("route " + name + ": timeout and attempts are 1 or more");
    }
    if (split.stream().mapToDouble(WeightedPool::weight).sum() <= 0) {
      throw new IllegalArgumentException("route " + name + ": no pool has a weight above 0");
    }
  }

  /** Returns whether a request of this route may run more than once. */
  public boolean isRepeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
  }
}
