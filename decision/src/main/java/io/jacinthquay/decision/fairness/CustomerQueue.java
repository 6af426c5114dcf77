package io.jacinthquay.decision.fairness;

import io.jacinthquay.model.CustomerId;
import java.util.Comparator;
import java.util.TreeSet;

/** The waiting requests of one customer in one class, and its virtual counter. */
final class CustomerQueue<T> {
  /** Least served first. */
  static final Comparator<CustomerQueue<?>> LEAST_SERVED =
      Comparator.<CustomerQueue<?>>comparingDouble(queue -> queue.counter)
          .thenComparing(queue -> queue.customer);

  private static final Comparator<Waiting<?>> EARLIEST_DEADLINE =
      Comparator.<Waiting<?>>comparingLong(Waiting::deadlineNanos)
          .thenComparingLong(waiting -> waiting.arrival);

  final CustomerId customer;
  final TreeSet<Waiting<T>> requests = new TreeSet<>(EARLIEST_DEADLINE);

  /** Tokens served, counted from the virtual time of the class; changed only outside the order. */
  double counter;

  CustomerQueue(CustomerId customer, double counter) {
    this.customer = customer;
    this.counter = counter;
  }

  static Comparator<Waiting<?>> earliestDeadline() {
    return EARLIEST_DEADLINE;
  }
}
