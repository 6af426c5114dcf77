package io.jacinthquay.decision.admission;

/** Measures how often requests arrive, to hold enough unused slots for the next ones. */
final class DemandMeter {
  /** Time within which an unused slot is replaced, in seconds. */
  private static final double REFILL_SECONDS = 0.02;

  private static final double SMOOTHING = 0.5;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Arrivals a second below which no unused slot is worth holding. */
  private static final double IDLE_RATE = 0.05;

  private final int most;
  private double perSecond;
  private long arrivals;

  DemandMeter(int most) {
    this.most = most;
  }

  void arrived() {
    arrivals++;
  }

  /** Ends an interval and returns how many unused slots to hold. */
  int wanted(long intervalNanos) {
    double recent = arrivals * NANOS_PER_SECOND / intervalNanos;
    perSecond += SMOOTHING * (recent - perSecond);
    arrivals = 0;
    return wantedNow();
  }

  int wantedNow() {
    if (perSecond < IDLE_RATE) {
      return 0;
    }
    return (int) Math.min(most, 1 + Math.ceil(perSecond * REFILL_SECONDS));
  }
}
