package io.jacinthquay.decision.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The recent crest of a demand that comes in waves.
 *
 * <p>Answers waves with a period of 11 to 17 s and new engines that serve after 4 s: what is
 * stopped in a trough is missing at the next crest. Routers that stop reporting take their part of
 * the demand out of the sum; it counts as still there for the length of the window. Not
 * thread-safe.
 */
final class DemandCrest {
  /** Length of the window, in nanoseconds; one period of the longest known wave. */
  static final long WINDOW_NANOS = 18_000_000_000L;

  /**
   * Quantile of the window that counts as the crest. It lies within 2 % of the maximum of a wave
   * and leaves out single samples.
   */
  private static final double QUANTILE = 0.9;

  /** Share of the routers of the window that must report for a lower demand to count. */
  private static final double MIN_ROUTER_SHARE = 0.9;

  private record Sample(long atNanos, double demand, int routers) {}

  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * Records the current demand.
   *
   * @param routers routers whose demand is included
   */
  void record(double demand, int routers, long now) {
    while (!samples.isEmpty() && now - samples.peekFirst().atNanos() > WINDOW_NANOS) {
      samples.pollFirst();
    }
    int known = samples.stream().mapToInt(Sample::routers).max().orElse(0);
    boolean partial = routers < known * MIN_ROUTER_SHARE;
    samples.addLast(new Sample(now, partial ? Math.max(demand, crest()) : demand, routers));
  }

  /** Returns the mean of the last two samples; one sample alone varies with single prompts. */
  double current() {
    return samples.stream()
        .skip(Math.max(0, samples.size() - 2))
        .mapToDouble(Sample::demand)
        .average()
        .orElse(0);
  }

  /** Returns the crest of the window; 0 if it is empty. */
  double crest() {
    double[] sorted = samples.stream().mapToDouble(Sample::demand).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[(int) (QUANTILE * (sorted.length - 1))];
  }
}
