package io.jacinthquay.decision.scaling;

/**
 * The factor by which the capacity of a pool exceeds the crest of its demand, corrected by what
 * callers get.
 *
 * <p>Answers what the figures of demand and capacity leave out: slow engines, uneven placement,
 * bursts. Late answers raise it within seconds, their absence lowers it slowly. Late answers while
 * engines are mostly idle have other causes, and so have those before an ordered engine serves;
 * both leave it as it is. Not thread-safe.
 */
final class Headroom {
  /** Least factor; learned rates include pauses between prompts and so are somewhat low. */
  static final double MIN = 0.9;

  /** Largest factor; at the target utilization engines are then used for a third. */
  static final double MAX = 1.8;

  /**
   * Factor before callers were observed; the target utilization leaves room for chats by itself.
   */
  private static final double INITIAL = 1;

  /** Share of missed requests above which the factor grows. */
  private static final double TOLERATED_SHARE = 0.04;

  /** Share of missed requests below which the factor falls. */
  private static final double GOOD_SHARE = 0.02;

  /** Growth per second, for each request that is missed. */
  private static final double GROWTH_PER_SECOND = 0.6;

  /** Largest share that counts; failures of a whole pool say nothing of its size. */
  private static final double MAX_SHARE = 0.3;

  /** Fall per second: a tenth in one period of the longest known wave. */
  private static final double FALL_PER_SECOND = 0.006;

  /** Use of the engines below which late answers have other causes. */
  private static final double MIN_UTILIZATION = 0.3;

  private double factor = INITIAL;

  /**
   * Corrects the factor.
   *
   * @param service what callers got
   * @param utilization demand relative to what the serving engines read at most
   * @param awaitsEngines whether ordered engines don't serve yet
   * @param seconds time since the last correction, in seconds
   */
  void update(ServiceQuality service, double utilization, boolean awaitsEngines, double seconds) {
    double share = service.missedShare();
    if (share > TOLERATED_SHARE) {
      if (utilization >= MIN_UTILIZATION && !awaitsEngines) {
        double excess = Math.min(MAX_SHARE, share);
        factor = Math.min(MAX, factor + GROWTH_PER_SECOND * excess * seconds);
      }
    } else if (share < GOOD_SHARE && service.isSignificant()) {
      factor = Math.max(MIN, factor - FALL_PER_SECOND * seconds);
    }
  }

  double factor() {
    return factor;
  }
}
