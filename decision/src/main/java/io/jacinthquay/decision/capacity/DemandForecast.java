package io.jacinthquay.decision.capacity;

/**
 * Forecasts the work offered to a pool.
 *
 * <pre>{@code
 * forecast.observe(demand);
 * Demand soon = forecast.within(12);
 * }</pre>
 */
public final class DemandForecast {
  private final TrendForecast highest;
  private final TrendForecast top;
  private final TrendForecast all;

  /**
   * Returns a forecast without samples.
   *
   * @param surpriseFactor how many times the largest recent surprise is kept as headroom, 0 or more
   */
  public DemandForecast(double surpriseFactor) {
    this.highest = new TrendForecast(surpriseFactor);
    this.top = new TrendForecast(surpriseFactor);
    this.all = new TrendForecast(surpriseFactor);
  }

  /** Takes the next sample; samples come at equal intervals. */
  public void observe(Demand demand) {
    highest.observe(demand.highest());
    top.observe(demand.top());
    all.observe(demand.all());
  }

  /**
   * Returns the demand that is seldom exceeded within a time.
   *
   * @param steps the time in sample intervals, 0 or more
   */
  public Demand within(double steps) {
    double first = highest.upperBound(steps);
    double both = Math.max(first, top.upperBound(steps));
    return new Demand(first, both, Math.max(both, all.upperBound(steps)));
  }
}
