package io.jacinthquay.decision.placement;

/** Makes placers. */
public final class Placers {
  private Placers() {}

  /** Returns the placer for real use, which weighs expected wait, cached prefixes and distance. */
  public static Placer expectedWait(UpstreamTable table) {
    return new ExpectedWaitPlacer(table);
  }

  /** Returns a placer that takes one upstream after the other, for comparison. */
  public static Placer roundRobin(UpstreamTable table) {
    return new RoundRobinPlacer(table);
  }

  /** Returns a placer that takes any upstream, for comparison. */
  public static Placer random(UpstreamTable table) {
    return new RandomPlacer(table);
  }

  /** Returns a placer that takes the upstream with the fewest own attempts, for comparison. */
  public static Placer leastInFlight(UpstreamTable table) {
    return new LeastInFlightPlacer(table);
  }
}
