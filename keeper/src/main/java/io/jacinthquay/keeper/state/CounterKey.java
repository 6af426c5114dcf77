package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.UsageCounter;
import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies a usage counter. Keys are ordered by window first.
 *
 * @param windowMillis start of the window in which the usage occurred, in milliseconds since the
 *     epoch
 * @param customer the customer
 * @param model the model
 * @param incarnation name and incarnation of the router that counted
 */
record CounterKey(long windowMillis, String customer, String model, String incarnation)
    implements Comparable<CounterKey> {
  private static final Comparator<CounterKey> ORDER =
      Comparator.comparingLong(CounterKey::windowMillis)
          .thenComparing(CounterKey::customer)
          .thenComparing(CounterKey::model)
          .thenComparing(CounterKey::incarnation);

  CounterKey {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(incarnation, "incarnation");
  }

  static CounterKey of(UsageCounter counter) {
    return new CounterKey(
        counter.getWindowStartMillis(),
        counter.getCustomer(),
        counter.getModel(),
        counter.getIncarnation());
  }

  @Override
  public int compareTo(CounterKey other) {
    return ORDER.compare(this, other);
  }
}
