package io.jacinthquay.decision.dispatch;

/**
 * The load that routers have in flight at one upstream.
 *
 * @param inFlight requests that were sent and have not ended
 * @param promptTokens estimated prompt tokens that are still to be read
 * @param memoryTokens most tokens that these requests keep in engine memory
 * @param pauseSensitivity sum of the pause sensitivities of the requests
 */
public record UpstreamLoad(
    int inFlight, long promptTokens, long memoryTokens, double pauseSensitivity) {
  /** No load. */
  public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0, 0);

  /** Returns the sum of two loads. */
  public UpstreamLoad plus(UpstreamLoad other) {
    return new UpstreamLoad(
        inFlight + other.inFlight,
        promptTokens + other.promptTokens,
        memoryTokens + other.memoryTokens,
        pauseSensitivity + other.pauseSensitivity);
  }
}
