package io.jacinthquay.decision.slo;

import java.util.Map;

/** How urgent a burn of the error budget is; docs/SLO-REPORT.md explains the rules. */
public enum BurnAlert {
  /** The budget lasts. */
  NONE,
  /** The budget will be spent before its period ends. */
  TICKET,
  /** The budget will be spent within hours. */
  PAGE;

  private static final double FAST_BURN = 14.4;
  private static final double MIDDLE_BURN = 6;
  private static final double SLOW_BURN = 1;

  /**
   * Returns the alert for burn rates.
   *
   * @param burn the burn rate by window; 1 spends exactly the budget
   */
  static BurnAlert of(Map<BurnWindow, Double> burn) {
    boolean fast =
        exceeds(burn, BurnWindow.ONE_HOUR, FAST_BURN)
            && exceeds(burn, BurnWindow.FIVE_MINUTES, FAST_BURN);
    boolean middle =
        exceeds(burn, BurnWindow.SIX_HOURS, MIDDLE_BURN)
            && exceeds(burn, BurnWindow.ONE_HOUR, MIDDLE_BURN);
    if (fast || middle) {
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
