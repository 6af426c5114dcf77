package io.jacinthquay.decision.capacity;

/**
 * Forecasts the demand on a pool.
 *
 * <pre>{@code
 * forecast.observe(demand);
 * Demand soon = forecast.upperBound(12);
 * }</pre>
 */
public final class DemandForecast {
  private final TrendForecast highest;
  private final TrendForecast topTwo;
  private final TrendForecast all;

  /**
   * Returns a forecast without samples.
   *
   * @param errorFactor multiple of the largest recent forecast error that is added as headroom, 0
   *     or more
   */
  public DemandForecast(double errorFactor) {
    this.highest = new TrendForecast(errorFactor);
    this.topTwo = new TrendForecast(errorFactor);
    this.all = new TrendForecast(errorFactor);
  }

  /** Adds the next sample. Samples must be taken at equal intervals. */
  public void observe(Demand demand) {
    highest.observe(demand.highest());
    topTwo.observe(demand.topTwo());
    all.observe(demand.all());
  }

  /**
   * Returns the demand that is unlikely to be exceeded within a time.
   *
   * @param steps the time, in sample intervals, 0 or more
   */
  public Demand upperBound(double steps) {
    double highestBound = highest.upperBound(steps);
    double topTwoBound = Math.max(highestBound, topTwo.upperBound(steps));
    return new Demand(highestBound, topTwoBound, Math.max(topTwoBound, all.upperBound(steps)));
  }
}
