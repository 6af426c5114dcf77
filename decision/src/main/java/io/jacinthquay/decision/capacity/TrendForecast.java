package io.jacinthquay.decision.capacity;

/**
 * Forecasts one quantity from its level, its trend and the size of its recent surprises.
 *
 * <pre>{@code
 * forecast.observe(value);
 * double soon = forecast.upperBound(steps);
 * }</pre>
 *
 * <p>Level and trend follow Holt's double exponential smoothing. Samples come at equal intervals.
 */
final class TrendForecast {
  private static final double LEVEL_WEIGHT = 0.4;
  private static final double TREND_WEIGHT = 0.15;
  private static final double SURPRISE_DECAY = 0.98;

  private final double surpriseFactor;
  private double level;
  private double trend;
  private double surprise;
  private boolean started;

  /**
   * Returns a forecast without samples.
   *
   * @param surpriseFactor how many times the mean recent surprise is added as headroom
   */
  TrendForecast(double surpriseFactor) {
    this.surpriseFactor = surpriseFactor;
  }

  /** Takes the next sample. */
  void observe(double value) {
    if (!started) {
      level = value;
      started = true;
      return;
    }
    double expected = level + trend;
    surprise = Math.max(surprise * SURPRISE_DECAY, value - expected);
    double next = LEVEL_WEIGHT * value + (1 - LEVEL_WEIGHT) * expected;
    trend = TREND_WEIGHT * (next - level) + (1 - TREND_WEIGHT) * trend;
    level = next;
  }

  /** Returns the expected value after a number of sample intervals, 0 or more. */
  double expected(double steps) {
    return Math.max(0, level + trend * steps);
  }

  /** Returns the value that is seldom exceeded within a number of sample intervals. */
  double upperBound(double steps) {
    double now = level;
    return Math.max(now, expected(steps)) + surpriseFactor * surprise;
  }
}
