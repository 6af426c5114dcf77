package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.model.Tier;

/**
 * The work that arrives at this router for one pool, by tier, as rates in which older arrivals
 * count less.
 *
 * <p>Answers waves of load: a late request waits longer than for the work ahead of it, as requests
 * that arrive meanwhile and can be on time go first.
 */
final class ArrivalLoad {
  /** Time constant in milliseconds; short beside waves of 11 to 17 s, some ten requests long. */
  private static final double DECAY_MILLIS = 3_000;

  private static final double NANOS_PER_MILLI = 1e6;

  private final double[] tokens = new double[Tier.MAX + 1];
  private final double[] requests = new double[Tier.MAX + 1];
  private long decayedNanos;
  private boolean begun;

  void record(Tier tier, int promptTokens, long now) {
    decay(now);
    tokens[tier.value()] += promptTokens;
    requests[tier.value()]++;
  }

  private void decay(long now) {
    double factor =
        begun ? Math.exp(-Math.max(0, now - decayedNanos) / NANOS_PER_MILLI / DECAY_MILLIS) : 0;
    begun = true;
    decayedNanos = now;
    for (int i = 0; i < tokens.length; i++) {
      tokens[i] *= factor;
      requests[i] *= factor;
    }
  }

  /**
   * Returns the share of the drain rate that arrivals of a tier and more urgent ones take, 0 or
   * more.
   *
   * @param routers number of routers that are assumed to have as many arrivals each
   */
  double share(Tier tier, DrainRate drain, int routers, long now) {
    decay(now);
    double tokenSum = 0;
    double requestSum = 0;
    for (int i = 0; i <= tier.value(); i++) {
      tokenSum += tokens[i];
      requestSum += requests[i];
    }
    WaitingWork work = new WaitingWork((int) (requestSum * routers), (long) (tokenSum * routers));
    return drain.millis(work) / DECAY_MILLIS;
  }
}
