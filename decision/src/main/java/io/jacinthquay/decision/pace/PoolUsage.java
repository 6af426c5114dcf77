package io.jacinthquay.decision.pace;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.model.UpstreamId;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * What a pool carries now, from which the windows of its upstreams in slow start begin.
 *
 * <p>Handles a pool that is new as a whole or has lost most of its upstreams: the windows then give
 * way, so that their sum carries the demand.
 *
 * @param provedInFlight median of the requests in flight at upstreams that are not in slow start
 * @param inFlight requests in flight at all upstreams of the pool
 * @param slots slots of all upstreams of the pool
 * @param provedSlots slots of the upstreams that are not in slow start
 * @param starting number of upstreams in slow start
 * @param missShare median of the shares of missed answers of its upstreams, 0 to 1
 */
record PoolUsage(
    int provedInFlight, int inFlight, int slots, int provedSlots, int starting, double missShare) {
  /**
   * Smallest first window: one request may run while the answer of another is on its way to the
   * other routers.
   */
  private static final double MIN_START = 2;

  /** First window as a share of what a proved upstream of the pool runs. */
  private static final double START_SHARE = 0.5;

  /**
   * Share of a pool's slots at proved upstreams below which the pool counts as new; so few don't
   * show what is usual and can't carry the demand until the windows of the others have grown.
   */
  private static final double MIN_PROVED_SHARE = 1.0 / 3;

  /** Factor on the requests in flight that the slots and windows of a pool must have room for. */
  private static final double DEMAND_HEADROOM = 1.5;

  /** Factor on what is usual that a window must reach before its upstream counts as proved. */
  private static final double PROVED_HEADROOM = 1.5;

  /** Smallest window that ends slow start; while a pool is idle, even this takes few answers. */
  private static final double MIN_PROVED = 4;

  /**
   * Share of misses at which a window neither grows nor shrinks in a pool where few answers miss.
   */
  private static final double TOLERATED_SHARE = 0.25;

  /** Factor on the share that is usual in the pool, for when that is higher. */
  private static final double USUAL_TOLERANCE = 1.5;

  /** Largest tolerated share; an upstream that misses nearly all answers has no more. */
  private static final double MAX_TOLERATED_SHARE = 0.9;

  /** Answers of an upstream from which its share of misses counts. */
  private static final double MIN_ANSWERS = 1;

  /** Answers from which an upstream's share of misses tells that it no longer bears its load. */
  private static final double MIN_OUTLIER_ANSWERS = 10;

  /**
   * Share of misses from which an upstream returns to slow start; a slow period of half a second
   * stays below a quarter in sums with a time constant of seconds.
   */
  private static final double OUTLIER_SHARE = 0.6;

  static PoolUsage of(List<PacedUpstream> pool, Set<UpstreamId> starting) {
    int inFlight = 0;
    int slots = 0;
    int provedSlots = 0;
    int count = 0;
    int[] proved = new int[pool.size()];
    for (PacedUpstream upstream : pool) {
      inFlight += upstream.inFlight();
      slots += upstream.slots();
      if (!starting.contains(upstream.upstream())) {
        provedSlots += upstream.slots();
        proved[count++] = upstream.inFlight();
      }
    }
    Arrays.sort(proved, 0, count);
    int median = count == 0 ? 0 : proved[count / 2];
    return new PoolUsage(
        median, inFlight, slots, provedSlots, pool.size() - count, medianMissShare(pool));
  }

  private static double medianMissShare(List<PacedUpstream> pool) {
    double[] shares =
        pool.stream()
            .map(PacedUpstream::evidence)
            .filter(e -> e.onTarget() + e.missed() >= MIN_ANSWERS)
            .mapToDouble(e -> e.missed() / (e.onTarget() + e.missed()))
            .sorted()
            .toArray();
    return shares.length == 0 ? 0 : shares[(shares.length - 1) / 2];
  }

  /**
   * Returns whether most answers of a proved upstream miss while most others of its pool don't; its
   * circuit breaker has then tripped only at those routers that had several failures.
   */
  boolean isOutlier(UpstreamEvidence evidence) {
    double answers = evidence.onTarget() + evidence.missed();
    return answers >= MIN_OUTLIER_ANSWERS
        && evidence.missed() >= OUTLIER_SHARE * answers
        && missShare <= OUTLIER_SHARE / 2;
  }

  /**
   * Returns the weight of a miss in relation to an answer on target. Where many answers of the
   * whole pool miss, a miss says little about one upstream.
   */
  double missWeight() {
    double tolerated =
        Math.min(MAX_TOLERATED_SHARE, Math.max(TOLERATED_SHARE, USUAL_TOLERANCE * missShare));
    return (1 - tolerated) / tolerated;
  }

  /** Returns whether too few upstreams of the pool have proved themselves to tell what is usual. */
  boolean isNew() {
    return provedSlots < MIN_PROVED_SHARE * slots;
  }

  /** Returns the window of an upstream of which nothing is known, in requests. */
  double startWindow(int upstreamSlots) {
    if (isNew()) {
      return upstreamSlots;
    }
    double uncarried = (DEMAND_HEADROOM * inFlight - provedSlots) / Math.max(1, starting);
    double start = Math.max(START_SHARE * provedInFlight, uncarried);
    return Math.min(upstreamSlots, Math.max(MIN_START, start));
  }

  /** Returns the window from which an upstream counts as proved, in requests. */
  double provedWindow(int upstreamSlots) {
    return Math.min(upstreamSlots, Math.max(MIN_PROVED, PROVED_HEADROOM * provedInFlight));
  }
}
