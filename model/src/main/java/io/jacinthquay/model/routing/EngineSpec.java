package io.jacinthquay.model.routing;

/**
 * The capacity and the streaming behaviour of the model engines of a pool.
 *
 * @param slots maximum number of concurrent requests, 1 or more
 * @param kvCacheTokens capacity of the KV cache for running requests and cached prompts, in tokens,
 *     1 or more
 * @param tokensPerEvent output tokens per event of a stream, 1 or more
 * @param transferTokensPerMilli rate at which one engine transfers cached prompts to another, in
 *     tokens per millisecond; 0 if engines of the pool can't transfer them
 */
public record EngineSpec(
    int slots, long kvCacheTokens, int tokensPerEvent, double transferTokensPerMilli) {
  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value is out of its range
   */
  public EngineSpec {
    if (slots < 1 || kvCacheTokens < 1 || tokensPerEvent < 1) {
      throw new IllegalArgumentException(
          "slots, memory tokens and tokens per event must be 1 or more");
    }
    if (!(transferTokensPerMilli >= 0) || Double.isInfinite(transferTokensPerMilli)) {
      throw new IllegalArgumentException("the transfer rate must be finite and 0 or more");
    }
  }
}
