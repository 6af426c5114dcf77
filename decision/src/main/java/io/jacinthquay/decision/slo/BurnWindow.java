package io.jacinthquay.decision.slo;

/** The time windows over which burn rates are computed. */
public enum BurnWindow {
  /** Five minutes in steps of ten seconds. */
  FIVE_MINUTES("5m", 300_000, 30),
  /** One hour in steps of two minutes. */
  ONE_HOUR("1h", 3_600_000, 30),
  /** Six hours in steps of ten minutes. */
  SIX_HOURS("6h", 21_600_000, 36),
  /** Three days in steps of two hours. */
  THREE_DAYS("3d", 259_200_000, 36);

  private final String label;
  private final long lengthMillis;
  private final int buckets;

  BurnWindow(String label, long lengthMillis, int buckets) {
    this.label = label;
    this.lengthMillis = lengthMillis;
    this.buckets = buckets;
  }

  /** Returns the short label for tables, such as {@code 1h}. */
  public String label() {
    return label;
  }

  /** Returns the length of the window, in milliseconds. */
  public long lengthMillis() {
    return lengthMillis;
  }

  /** Returns the number of steps in the window. */
  int buckets() {
    return buckets;
  }

  /** Returns the length of one step, in milliseconds. */
  long bucketMillis() {
    return lengthMillis / buckets;
  }
}
