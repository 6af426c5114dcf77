package io.jacinthquay.decision.pace;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.model.PoolName;

/**
 * The window of one upstream in slow start: how many requests of all routers it may run.
 *
 * <p>The window is a function of what all routers have seen of the upstream since it started or
 * last failed, so that all of them compute nearly the same one. Each answer on target adds {@link
 * #GROWTH} places, each miss takes a multiple of that. While misses are few, the window keeps its
 * highest value, so that an upstream that is not used isn't set back as the sums decay.
 */
final class UpstreamWindow {
  /**
   * Places that an answer on target adds. One place would double the window per round trip; the
   * answers take another one or two intervals to reach the other routers, so two are added.
   */
  private static final double GROWTH = 2;

  /**
   * Factor on misses that precede the start. Reports that were made before the start still arrive
   * after it, so that some of these misses seem to be new.
   */
  private static final double OLD_MISSES_TOLERANCE = 1.1;

  /** The same for answers on target, of which a few must be seen among many old ones. */
  private static final double OLD_ANSWERS_TOLERANCE = 1.02;

  /** Smallest window; answers on target to so few requests show that an upstream is back. */
  private static final double MIN_WINDOW = 2;

  /** Observations, in sums that decay, that are at least one. */
  private static final double ONE = 0.5;

  /**
   * Time after which an upstream whose answers were mostly on target counts as proved even if
   * demand was too low for the window to grow, in nanoseconds; two time constants.
   */
  private static final long MAX_NANOS = 10_000_000_000L;

  /**
   * Time for which a window must have been large enough for its upstream to count as proved, in
   * nanoseconds: answers to the requests that filled it are slow if it can't bear them, and take
   * some hundred milliseconds to reach all routers. Meanwhile the window is no hindrance.
   */
  private static final long HOLD_NANOS = 2_000_000_000L;

  /** Answers on target that prove that an upstream is back, beyond a chance success. */
  private static final double PROOF = 2;

  private final PoolName pool;
  private final double standingDraw;
  private UpstreamEvidence before = UpstreamEvidence.NONE;
  private long beforeNanos;
  private long startedNanos;
  private double lastMissed;
  private double onTargetAtMiss;
  private double score;
  private boolean answered;
  private boolean proof;
  private double highest;
  private double window;
  private int limit;
  private boolean limited;
  private long grownNanos;

  /**
   * Returns a window in which no request has a place before the first update.
   *
   * @param seen observations that precede the start
   * @param standingDraw random number from 0 to 1, decides on places while routers are cut off
   */
  UpstreamWindow(PoolName pool, UpstreamEvidence seen, double standingDraw, long now) {
    this.pool = pool;
    this.standingDraw = standingDraw;
    restart(seen, now);
  }

  /** Forgets all observations up to now because the upstream failed or was started again. */
  void restart(UpstreamEvidence seen, long now) {
    startedNanos = now;
    forget(seen, now);
    window = 0;
    limit = 0;
    limited = true;
    grownNanos = now;
  }

  private void forget(UpstreamEvidence seen, long now) {
    before = seen;
    beforeNanos = now;
    highest = 0;
    lastMissed = 0;
    onTargetAtMiss = 0;
    score = 0;
    answered = false;
    proof = false;
  }

  /** Updates the window and this router's places in it. */
  void update(PacedUpstream upstream, PoolUsage usage, Peers peers, double draw, long now) {
    UpstreamEvidence seen = upstream.evidence();
    double decay = UpstreamEvidence.decay(now - beforeNanos);
    double onTarget =
        Math.max(0, seen.onTarget() - OLD_ANSWERS_TOLERANCE * decay * before.onTarget());
    double missed = Math.max(0, seen.missed() - OLD_MISSES_TOLERANCE * decay * before.missed());
    if (missed > lastMissed + ONE) {
      onTargetAtMiss = onTarget;
    }
    lastMissed = missed;
    score = onTarget - usage.missWeight() * missed;
    if (score < 0 && onTarget - onTargetAtMiss > ONE) {
      forgetMisses(seen, onTarget - onTargetAtMiss, now);
    }
    answered |= onTarget > ONE;
    proof = score >= PROOF || (proof && score >= 0);
    double most = usage.provedWindow(upstream.slots());
    double grown = usage.startWindow(upstream.slots()) + GROWTH * Math.max(0, score);
    highest = Math.min(most, Math.max(highest, grown));
    window = Math.max(MIN_WINDOW, highest + GROWTH * Math.min(0, score));
    if (window < most) {
      grownNanos = now;
    }
    limited = !usage.isNew();
    limit = limited ? share(upstream, peers, draw) : Integer.MAX_VALUE;
  }

  private int share(PacedUpstream upstream, Peers peers, double draw) {
    return peers.known()
        ? RouterShare.limit(window, upstream, peers.count(), draw)
        : RouterShare.limitAlone(window, peers.count(), standingDraw);
  }

  /**
   * Forgets misses that are older than the last answers on target. Hundreds of misses of an outage
   * would otherwise outweigh all that a few probes can add for longer than they decay.
   */
  private void forgetMisses(UpstreamEvidence seen, double newest, long now) {
    double older = (seen.onTarget() - newest) / OLD_ANSWERS_TOLERANCE;
    forget(new UpstreamEvidence(0, 0, 0, 0, older, seen.missed()), now);
    score = newest;
  }

  /** Returns whether the upstream has borne what is usual in its pool, or all that was tried. */
  boolean isProved(long now) {
    boolean grown = proof && now - grownNanos >= HOLD_NANOS;
    boolean tried = now - startedNanos >= MAX_NANOS && score >= 0 && answered;
    return grown || tried;
  }

  /** Returns whether several answers on target were seen, and few misses since. */
  boolean hasProof() {
    return proof;
  }

  /** Returns whether this router may send one more request beside those that it has in flight. */
  boolean allows(int own) {
    return own < limit;
  }

  /** Returns whether the window is in force; it is not while the whole pool is new. */
  boolean isLimited() {
    return limited;
  }

  PoolName pool() {
    return pool;
  }

  double window() {
    return window;
  }

  long elapsedNanos(long now) {
    return now - startedNanos;
  }
}
