package io.jacinthquay.decision.scaling;

import io.jacinthquay.model.DomainId;
import java.util.Map;

/**
 * How fast the engines of a pool were observed to be.
 *
 * @param observedMillis observation time behind the prompt rates, as a sum that decays, in
 *     milliseconds
 * @param promptTokensPerMilli prompt rate of an engine, by failure domain, in tokens per
 *     millisecond
 * @param millisPerToken time between two output tokens of a stream, in milliseconds
 * @param targetMillisPerToken time per token at which the pool's streams reach their shortest pause
 *     target, in milliseconds; 0 for none
 */
public record EngineSpeeds(
    double observedMillis,
    Map<DomainId, Double> promptTokensPerMilli,
    double millisPerToken,
    double targetMillisPerToken) {
  /** Nothing was observed. */
  public static final EngineSpeeds UNKNOWN = new EngineSpeeds(0, Map.of(), 0, 0);

  /** Copies the map. */
  public EngineSpeeds {
    promptTokensPerMilli = Map.copyOf(promptTokensPerMilli);
  }
}
