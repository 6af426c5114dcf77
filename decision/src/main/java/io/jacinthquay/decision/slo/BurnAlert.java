package io.jacinthquay.decision.slo;

import java.util.Map;

/** The urgency of an error budget's burn rate. The rules are described in docs/SLO-REPORT.md. */
public enum BurnAlert {
  /** The budget is sufficient. */
  NONE,
  /** The budget will be exhausted before its period ends. */
  TICKET,
  /** The budget will be exhausted within hours. */
  PAGE;

  /** Burn rate that exhausts the budget of three days in 5 hours. */
  private static final double FAST_BURN = 14.4;

  /** Burn rate that exhausts the budget of three days in 12 hours. */
  private static final double MEDIUM_BURN = 6;

  /** Burn rate that exhausts the budget of three days exactly at their end. */
  private static final double SLOW_BURN = 1;

  /**
   * Returns the alert for burn rates.
   *
   * @param burn the burn rate by window; a rate of 1 uses exactly the budget
   */
  static BurnAlert of(Map<BurnWindow, Double> burn) {
    boolean fast =
        exceeds(burn, BurnWindow.ONE_HOUR, FAST_BURN)
            && exceeds(burn, BurnWindow.FIVE_MINUTES, FAST_BURN);
    boolean medium =
        exceeds(burn, BurnWindow.SIX_HOURS, MEDIUM_BURN)
            && exceeds(burn, BurnWindow.ONE_HOUR, MEDIUM_BURN);
    if (fast || medium) {
      return PAGE;
    }
    boolean slow =
        exceeds(burn, BurnWindow.THREE_DAYS, SLOW_BURN)
            && exceeds(burn, BurnWindow.SIX_HOURS, SLOW_BURN);
    return slow ? TICKET : NONE;
  }

  private static boolean exceeds(Map<BurnWindow, Double> burn, BurnWindow window, double limit) {
    return burn.get(window) > limit;
  }
}
