package io.jacinthquay.decision.dispatch;

/**
 * A transfer of a cached prompt prefix from one engine to another.
 *
 * @param source the engine that holds the prefix
 * @param tokens tokens to transfer, 1 or more
 * @param millis time until the transfer ends, in milliseconds, including the wait for both engines'
 *     links
 */
record PrefixTransfer(UpstreamState source, int tokens, double millis) {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Occupies the links of the source and of the engine that fetches the prefix. */
  void occupyLinks(UpstreamState target, long now) {
    long until = now + (long) (millis * NANOS_PER_MILLI);
    source.occupyLinkUntil(until);
    target.occupyLinkUntil(until);
  }
}
