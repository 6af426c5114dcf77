package io.jacinthquay.decision.placement;

/** Factory methods for placers. */
public final class Placers {
  private Placers() {}

  /**
   * Returns the production placer, which weighs expected wait, cached prefixes and failure domain.
   */
  public static Placer expectedWait(UpstreamTable table) {
    return new ExpectedWaitPlacer(table);
  }

  /** Returns a round-robin placer, for comparison. */
  public static Placer roundRobin(UpstreamTable table) {
    return new RoundRobinPlacer(table);
  }

  /** Returns a placer that chooses at random, for comparison. */
  public static Placer random(UpstreamTable table) {
    return new RandomPlacer(table);
  }

  /**
   * Returns a placer that chooses the upstream with the fewest attempts in flight from this router,
   * for comparison.
   */
  public static Placer leastInFlight(UpstreamTable table) {
    return new LeastInFlightPlacer(table);
  }
}
