package io.jacinthquay.decision.slo;

/** Counts of the last span of time, in steps that are forgotten one by one. */
final class TallyRing {
  private final BurnWindow window;
  private final int[] attained;
  private final int[] missed;
  private long newestStep = Long.MIN_VALUE;

  TallyRing(BurnWindow window) {
    this.window = window;
    this.attained = new int[window.buckets()];
    this.missed = new int[window.buckets()];
  }

  void add(boolean met, long nowMillis) {
    int slot = slotAt(nowMillis);
    if (met) {
      attained[slot]++;
    } else {
      missed[slot]++;
    }
  }

  Tally sum(long nowMillis) {
    slotAt(nowMillis);
    long met = 0;
    long not = 0;
    for (int i = 0; i < attained.length; i++) {
      met += attained[i];
      not += missed[i];
    }
    return new Tally(met, not);
  }

  /** Forgets the steps that have left the span and returns the place of the current one. */
  private int slotAt(long nowMillis) {
    long step = Math.max(Math.floorDiv(nowMillis, window.bucketMillis()), newestStep);
    long first = Math.max(newestStep + 1, step - window.buckets() + 1);
    for (long s = first; s <= step; s++) {
      int slot = Math.floorMod(s, window.buckets());
      attained[slot] = 0;
      missed[slot] = 0;
    }
    newestStep = step;
    return Math.floorMod(step, window.buckets());
  }
}
