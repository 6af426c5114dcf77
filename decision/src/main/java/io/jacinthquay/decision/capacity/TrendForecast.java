package io.jacinthquay.decision.capacity;

/**
 * Forecasts one quantity from its level, its trend and its recent forecast errors.
 *
 * <pre>{@code
 * forecast.observe(value);
 * double soon = forecast.upperBound(steps);
 * }</pre>
 *
 * <p>Level and trend follow Holt's double exponential smoothing. Samples must be taken at equal
 * intervals.
 */
final class TrendForecast {
  /** Weight of a new sample in the level, 0 to 1. */
  private static final double LEVEL_WEIGHT = 0.4;

  /** Weight of the latest change of the level in the trend, 0 to 1. */
  private static final double TREND_WEIGHT = 0.15;

  /** Factor by which the error decays with each sample, 0 to 1. */
  private static final double ERROR_DECAY = 0.98;

  private final double errorFactor;
  private double level;
  private double trend;
  private double error;
  private boolean started;

  /**
   * Returns a forecast without samples.
   *
   * @param errorFactor multiple of the largest recent error that is added as headroom, 0 or more
   */
  TrendForecast(double errorFactor) {
    this.errorFactor = errorFactor;
  }

  /** Adds the next sample. */
  void observe(double value) {
    if (!started) {
      level = value;
      started = true;
      return;
    }
    double expected = level + trend;
    error = Math.max(error * ERROR_DECAY, value - expected);
    double next = LEVEL_WEIGHT * value + (1 - LEVEL_WEIGHT) * expected;
    trend = TREND_WEIGHT * (next - level) + (1 - TREND_WEIGHT) * trend;
    level = next;
  }

  /** Returns the expected value after a number of sample intervals, 0 or more. */
  double expected(double steps) {
    return Math.max(0, level + trend * steps);
  }

  /**
   * Returns the value that is unlikely to be exceeded within a number of sample intervals, 0 or
   * more.
   */
  double upperBound(double steps) {
    double now = level;
    return Math.max(now, expected(steps)) + errorFactor * error;
  }
}
