package io.jacinthquay.decision.pace;

/**
 * This router's part of the free places in a window.
 *
 * <p>Handles many routers that all see the same free places in data that is a few hundred
 * milliseconds old. Each gets an equal part of them, in whole requests: with fewer places than
 * routers, a random number decides which routers get one, so that the expected sum over all routers
 * holds without messages.
 */
final class RouterShare {
  /** Shortest interval, in nanoseconds: the time between two exchanges of few routers. */
  private static final long MIN_INTERVAL_NANOS = 50_000_000L;

  /** Longest interval, in nanoseconds: the time between two exchanges of many routers. */
  private static final long MAX_INTERVAL_NANOS = 300_000_000L;

  /** Time between two exchanges per router, in nanoseconds. */
  private static final long INTERVAL_NANOS_PER_ROUTER = 3_200_000L;

  private RouterShare() {}

  /** Returns the time after which places are given out again, in nanoseconds. */
  static long intervalNanos(int routers) {
    long nanos = INTERVAL_NANOS_PER_ROUTER * routers;
    return Math.max(MIN_INTERVAL_NANOS, Math.min(MAX_INTERVAL_NANOS, nanos));
  }

  /**
   * Returns how many requests this router may have in flight until the next interval, while the
   * routers exchange what they have in flight: those that it has, and its part of the free places.
   * It may thus send another request at once when one of its own ends.
   *
   * @param draw random number from 0 to 1, a new one for each interval
   */
  static int limit(double window, PacedUpstream upstream, int routers, double draw) {
    if (routers == 1) {
      return (int) window;
    }
    double free = window - upstream.inFlight();
    if (free < 0) {
      return (int) (upstream.own() * window / upstream.inFlight() + draw);
    }
    return upstream.own() + (int) (free / routers + draw);
  }

  /**
   * Returns how many requests this router may have in flight while it doesn't know what the others
   * have.
   *
   * @param draw random number from 0 to 1 that stays the same, since otherwise the routers that get
   *     a place would add up from interval to interval
   */
  static int limitAlone(double window, int routers, double draw) {
    return (int) (window / routers + draw);
  }
}
