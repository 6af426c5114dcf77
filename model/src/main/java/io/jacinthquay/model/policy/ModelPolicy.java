package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * The configuration of a model that callers may request.
 *
 * @param name the name of the model
 * @param pool the pool of engines that serves it
 * @param maxOutputTokens maximum number of output tokens per response, 1 to 10,000,000
 */
public record ModelPolicy(ModelName name, PoolName pool, int maxOutputTokens) {
  /** Default maximum of output tokens per response. */
  public static final int DEFAULT_MAX_OUTPUT_TOKENS = 4_096;

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   * @throws NullPointerException if a part is missing
   */
  public ModelPolicy {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(pool, "pool");
    Ranges.check("max_output_tokens", maxOutputTokens, 1, 10_000_000);
  }

  @JsonCreator
  static ModelPolicy of(
      @JsonProperty(value = "name", required = true) ModelName name,
      @JsonProperty(value = "pool", required = true) PoolName pool,
      @JsonProperty("max_output_tokens") Integer maxOutputTokens) {
    return new ModelPolicy(
        name, pool, Objects.requireNonNullElse(maxOutputTokens, DEFAULT_MAX_OUTPUT_TOKENS));
  }
}
