package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.Tier;
import java.util.Objects;

/**
 * A request class: a latency target and a priority.
 *
 * @param name the name of the class
 * @param tier the priority of its requests
 * @param firstTokenMs target time from arrival to the first token or, on plain routes, to the first
 *     byte of the answer, in milliseconds, 1 to 86,400,000
 * @param interTokenMs target mean time between tokens, in milliseconds, 1 to 60,000
 * @param objective share of requests that must meet both targets, above 0 and below 1
 * @param mustFinish whether requests wait until they are served instead of being dropped
 * @param floorIntervalMs longest time without a dispatch while requests of this class wait, in
 *     milliseconds, 100 to 3,600,000
 */
public record ClassPolicy(
    ClassName name,
    Tier tier,
    long firstTokenMs,
    double interTokenMs,
    double objective,
    boolean mustFinish,
    long floorIntervalMs) {
  /** Default target between tokens, in milliseconds. */
  public static final double DEFAULT_INTER_TOKEN_MS = 100;

  /** Default objective, as a share of requests. */
  public static final double DEFAULT_OBJECTIVE = 0.95;

  /** Default floor interval, in milliseconds. */
  public static final long DEFAULT_FLOOR_INTERVAL_MS = 5_000;

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   * @throws NullPointerException if {@code name} or {@code tier} is missing
   */
  public ClassPolicy {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(tier, "tier");
    Ranges.check("first_token_ms", firstTokenMs, 1, 86_400_000);
    Ranges.check("inter_token_ms", interTokenMs, 1, 60_000);
    Ranges.check("objective", objective, 0.000_001, 0.999_999);
    Ranges.check("floor_interval_ms", floorIntervalMs, 100, 3_600_000);
  }

  @JsonCreator
  static ClassPolicy of(
      @JsonProperty(value = "name", required = true) ClassName name,
      @JsonProperty(value = "tier", required = true) Tier tier,
      @JsonProperty(value = "first_token_ms", required = true) long firstTokenMs,
      @JsonProperty("inter_token_ms") Double interTokenMs,
      @JsonProperty("objective") Double objective,
      @JsonProperty("must_finish") boolean mustFinish,
      @JsonProperty("floor_interval_ms") Long floorIntervalMs) {
    return new ClassPolicy(
        name,
        tier,
        firstTokenMs,
        Objects.requireNonNullElse(interTokenMs, DEFAULT_INTER_TOKEN_MS),
        Objects.requireNonNullElse(objective, DEFAULT_OBJECTIVE),
        mustFinish,
        Objects.requireNonNullElse(floorIntervalMs, DEFAULT_FLOOR_INTERVAL_MS));
  }
}
