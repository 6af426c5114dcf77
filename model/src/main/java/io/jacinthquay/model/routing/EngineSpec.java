package io.jacinthquay.model.routing;

/**
 * What a model engine of a pool holds and how it hands out what it makes.
 *
 * @param slots requests that run at one time, 1 or more
 * @param memoryTokens tokens of running requests and cached prompts, 1 or more
 * @param tokensPerEvent output tokens in one event of a stream, 1 or more
 * @param transferRate tokens of cached prompts that one engine hands another in a millisecond; 0 if
 *     engines of the pool can't
 */
public record EngineSpec(int slots, long memoryTokens, int tokensPerEvent, double transferRate) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of its range
   */
  public EngineSpec {
    if (slots < 1 || memoryTokens < 1 || tokensPerEvent < 1) {
      throw new IllegalArgumentException("slots, memory and tokens of an event are 1 or more");
    }
    if (!(transferRate >= 0) || Double.isInfinite(transferRate)) {
      throw new IllegalArgumentException("the rate of transfers is 0 or more");
    }
  }
}
