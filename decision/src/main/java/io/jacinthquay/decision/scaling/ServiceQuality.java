package io.jacinthquay.decision.scaling;

/**
 * What callers of a pool got in the last seconds.
 *
 * @param routers routers that reported on the pool
 * @param requests requests that arrived
 * @param missed requests that were answered late or refused
 * @param waitingTokens prompt tokens of requests queued at routers
 */
public record ServiceQuality(int routers, long requests, long missed, long waitingTokens) {
  /** Fewest requests from which a share is computed; one late answer of a few says little. */
  private static final int MIN_REQUESTS = 20;

  /** Nothing was reported. */
  public static final ServiceQuality UNKNOWN = new ServiceQuality(0, 0, 0, 0);

  /** Returns whether there were enough requests to judge. */
  boolean isSignificant() {
    return requests >= MIN_REQUESTS;
  }

  /** Returns the share of requests that were late or refused, 0 to 1; 0 if there were few. */
  public double missedShare() {
    return isSignificant() ? Math.min(1, (double) missed / requests) : 0;
  }
}
