package io.jacinthquay.model.routing;

import io.jacinthquay.model.RouteName;
import io.jacinthquay.model.Tier;
import java.util.List;
import java.util.Objects;

/**
 * The routing rule of one host and path prefix: target pools, timeouts and retry limits.
 *
 * @param name the name of the route
 * @param host the host name in the request, without port
 * @param pathPrefix the path prefix; starts and ends with a slash
 * @param kind whether requests may be executed more than once
 * @param timeoutMillis request timeout, in milliseconds, 1 or more
 * @param targetMillis latency target of the first token, or of the response, in milliseconds
 * @param tier the tier of the requests, unless the customer has one
 * @param split the pools that share the traffic; at least one has a weight above 0
 * @param maxAttempts maximum number of upstreams that one request is sent to, 1 or more
 * @param open whether requests need no key
 * @param promptInHeaders whether requests describe their prompt in headers
 * @param resumable whether a broken stream may be resumed at another upstream
 * @param gapTargetMillis latency target between two events of a stream, in milliseconds; 0 for none
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
    boolean promptInHeaders,
    boolean resumable,
    int gapTargetMillis) {
  /**
   * Copies the list and validates the ranges.
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
      throw new IllegalArgumentException(
          "route " + name + ": the path prefix must start and end with /");
    }
    if (timeoutMillis < 1 || maxAttempts < 1) {
      throw new IllegalArgumentException(
          "route " + name + ": timeout and attempts must be 1 or more");
    }
    if (split.stream().mapToDouble(WeightedPool::weight).sum() <= 0) {
      throw new IllegalArgumentException("route " + name + ": no pool has a weight above 0");
    }
  }

  /** Returns whether a request of this route may be executed more than once. */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
  }
}
