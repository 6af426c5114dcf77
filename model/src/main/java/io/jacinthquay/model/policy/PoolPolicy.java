package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * One pool of interchangeable upstreams.
 *
 * @param name the pool
 * @param kind what its upstreams are
 * @param minUpstreams fewest running upstreams over all failure domains, 0 to 100,000
 * @param maxUpstreams most running upstreams over all failure domains, 0 to 100,000
 * @param costLimitPerHour most to pay per hour, in the platform's currency; 0 means no limit
 * @param cheapAllowed whether upstreams that may vanish at any time may be ordered
 */
public record PoolPolicy(
    PoolName name,
    PoolKind kind,
    int minUpstreams,
    int maxUpstreams,
    double costLimitPerHour,
    boolean cheapAllowed) {
  /** Most upstreams of any pool. */
  public static final int MOST_UPSTREAMS = 100_000;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   * @throws NullPointerException if a part is missing
   */
  public PoolPolicy {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    Ranges.check("min_upstreams", minUpstreams, 0, MOST_UPSTREAMS);
    Ranges.check("max_upstreams", maxUpstreams, minUpstreams, MOST_UPSTREAMS);
    Ranges.check("cost_limit_per_hour", costLimitPerHour, 0, 1e9);
  }

  @JsonCreator
  static PoolPolicy of(
      @JsonProperty(value = "name", required = true) PoolName name,
      @JsonProperty(value = "kind", required = true) PoolKind kind,
      @JsonProperty("min_upstreams") int minUpstreams,
      @JsonProperty("max_upstreams") Integer maxUpstreams,
      @JsonProperty("cost_limit_per_hour") double costLimitPerHour,
      @JsonProperty("cheap_allowed") Boolean cheapAllowed) {
    return new PoolPolicy(
        name,
        kind,
        minUpstreams,
        Objects.requireNonNullElse(maxUpstreams, MOST_UPSTREAMS),
        costLimitPerHour,
        Objects.requireNonNullElse(cheapAllowed, true));
  }
}
