package io.jacinthquay.decision.dispatch;

/**
 * What routers have under way at one upstream.
 *
 * @param inFlight requests that were sent and have not ended
 * @param promptTokens prompt tokens that are still to be read, as far as can be told
 * @param memoryTokens tokens that they keep in memory at most
 * @param fragility sum of {@link Work#fragility()}
 */
public record LoadFigures(int inFlight, long promptTokens, long memoryTokens, double fragility) {
  /** Nothing under way. */
  public static final LoadFigures NONE = new LoadFigures(0, 0, 0, 0);

  /** Returns the sum. */
  public LoadFigures plus(LoadFigures other) {
    return new LoadFigures(
        inFlight + other.inFlight,
        promptTokens + other.promptTokens,
        memoryTokens + other.memoryTokens,
        fragility + other.fragility);
  }
}
