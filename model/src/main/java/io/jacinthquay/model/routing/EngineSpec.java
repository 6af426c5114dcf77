package io.jacinthquay.model.routing;

/**
 * What a model engine of a pool holds.
 *
 * @param slots requests that run at one time, 1 or more
 * @param memoryTokens tokens of running requests and cached prompts, 1 or more
 */
public record EngineSpec(int slots, long memoryTokens) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is below 1
   */
  public EngineSpec {
    if (slots < 1 || memoryTokens < 1) {
      throw new IllegalArgumentException("slots and memory are 1 or more");
    }
  }
}
