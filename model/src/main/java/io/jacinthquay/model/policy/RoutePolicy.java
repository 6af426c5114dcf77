package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RouteName;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The configuration of a plain HTTP route. The longest matching path prefix selects the route.
 *
 * @param name the name of the route
 * @param prefix the path prefix, which begins with {@code /}
 * @param pool the pool of plain services that serves it
 * @param methods the allowed HTTP methods in upper case, at least one
 * @param idempotent whether a request may be retried after a failure
 * @param open whether requests need no key
 * @param className the class of its requests; empty for the customer's default class; required if
 *     {@code open} is set
 * @param timeoutMs timeout of a whole request and response, in milliseconds, 1 to 86,400,000
 */
public record RoutePolicy(
    RouteName name,
    String prefix,
    PoolName pool,
    List<String> methods,
    boolean idempotent,
    boolean open,
    Optional<ClassName> className,
    long timeoutMs) {
  /** Default timeout, in milliseconds. */
  public static final long DEFAULT_TIMEOUT_MS = 30_000;

  /**
   * Validates the ranges and copies the list.
   *
   * @throws IllegalArgumentException if a value is out of range
   * @throws NullPointerException if a part is missing
   */
  public RoutePolicy {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(className, "class");
    methods = List.copyOf(methods);
    if (prefix == null || !prefix.startsWith("/")) {
      throw new IllegalArgumentException("prefix must begin with /");
    }
    if (methods.isEmpty()) {
      throw new IllegalArgumentException("methods must name at least one method");
    }
    if (open && className.isEmpty()) {
      throw new IllegalArgumentException("an open route must name its class");
    }
    Ranges.check("timeout_ms", timeoutMs, 1, 86_400_000);
  }

  @JsonCreator
  static RoutePolicy of(
      @JsonProperty(value = "name", required = true) RouteName name,
      @JsonProperty(value = "prefix", required = true) String prefix,
      @JsonProperty(value = "pool", required = true) PoolName pool,
      @JsonProperty(value = "methods", required = true) List<String> methods,
      @JsonProperty("idempotent") boolean idempotent,
      @JsonProperty("open") boolean open,
      @JsonProperty("class") ClassName className,
      @JsonProperty("timeout_ms") Long timeoutMs) {
    return new RoutePolicy(
        name,
        prefix,
        pool,
        methods,
        idempotent,
        open,
        Optional.ofNullable(className),
        Objects.requireNonNullElse(timeoutMs, DEFAULT_TIMEOUT_MS));
  }

  /** Returns whether the prefix matches the path on a segment boundary. */
  public boolean matches(String path) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    boolean endsAtBoundary = path.length() == prefix.length() || prefix.endsWith("/");
    return endsAtBoundary || path.charAt(prefix.length()) == '/';
  }
}
