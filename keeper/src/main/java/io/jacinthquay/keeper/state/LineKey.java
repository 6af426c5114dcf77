package io.jacinthquay.keeper.state;

import java.util.Comparator;

/** Identifies a line of a sealed window, in the order in which the lines stand. */
record LineKey(String customer, String model, long occurredMillis) implements Comparable<LineKey> {
  private static final Comparator<LineKey> ORDER =
      Comparator.comparing(LineKey::customer)
          .thenComparing(LineKey::model)
          .thenComparingLong(LineKey::occurredMillis);

  static LineKey of(CounterKey key) {
    return new LineKey(key.customer(), key.model(), key.windowMillis());
  }

  @Override
  public int compareTo(LineKey other) {
    return ORDER.compare(this, other);
  }
}
