package io.jacinthquay.keeper.state;

import java.util.Comparator;

/** Identifies a line of a sealed window. Keys are ordered as the lines are. */
record UsageLineKey(String customer, String model, long occurredMillis)
    implements Comparable<UsageLineKey> {
  private static final Comparator<UsageLineKey> ORDER =
      Comparator.comparing(UsageLineKey::customer)
          .thenComparing(UsageLineKey::model)
          .thenComparingLong(UsageLineKey::occurredMillis);

  static UsageLineKey of(CounterKey key) {
    return new UsageLineKey(key.customer(), key.model(), key.windowMillis());
  }

  @Override
  public int compareTo(UsageLineKey other) {
    return ORDER.compare(this, other);
  }
}
