package io.jacinthquay.decision.admission;

/** Measures the arrival rate of requests and derives how many unused slots to hold. */
final class DemandMeter {
  /** Time within which a used slot is replaced by a new unused one, in seconds. */
  private static final double REFILL_SECONDS = 0.02;

  /** Weight of the latest interval in the moving average of the rate. */
  private static final double SMOOTHING = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Arrivals per second below which no unused slot is held. */
  private static final double MIN_RATE = 0.05;

  private final int maxIdle;
  private double perSecond;
  private long arrivals;

  DemandMeter(int maxIdle) {
    this.maxIdle = maxIdle;
  }

  void recordArrival() {
    arrivals++;
  }

  /** Ends an interval and returns the number of unused slots to hold. */
  int endInterval(long intervalNanos) {
    double recent = arrivals * NANOS_PER_SECOND / intervalNanos;
    perSecond += SMOOTHING * (recent - perSecond);
    arrivals = 0;
    return idleTarget();
  }

  int idleTarget() {
    if (perSecond < MIN_RATE) {
      return 0;
    }
    return (int) Math.min(maxIdle, 1 + Math.ceil(perSecond * REFILL_SECONDS));
  }
}
