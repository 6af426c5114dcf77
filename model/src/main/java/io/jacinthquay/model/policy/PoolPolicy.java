package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * The configuration of a pool of interchangeable upstreams.
 *
 * @param name the name of the pool
 * @param kind the kind of its upstreams
 * @param minUpstreams minimum number of running upstreams in all failure domains together, 0 to
 *     100,000
 * @param maxUpstreams maximum number of running upstreams in all failure domains together, 0 to
 *     100,000
 * @param costLimitPerHour maximum cost per hour, in the platform's currency; 0 for no limit
 * @param cheapAllowed whether spot upstreams may be ordered, which the platform may reclaim at any
 *     time
 */
public record PoolPolicy(
    PoolName name,
    PoolKind kind,
    int minUpstreams,
    int maxUpstreams,
    double costLimitPerHour,
    boolean cheapAllowed) {
  /** Maximum number of upstreams in a pool; also the default of {@code maxUpstreams}. */
  public static final int MAX_UPSTREAMS = 100_000;

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   * @throws NullPointerException if a part is missing
   */
  public PoolPolicy {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    Ranges.check("min_upstreams", minUpstreams, 0, MAX_UPSTREAMS);
    Ranges.check("max_upstreams", maxUpstreams, minUpstreams, MAX_UPSTREAMS);
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
        Objects.requireNonNullElse(maxUpstreams, MAX_UPSTREAMS),
        costLimitPerHour,
        Objects.requireNonNullElse(cheapAllowed, true));
  }
}
