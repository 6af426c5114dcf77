package io.jacinthquay.decision.fairness;

import io.jacinthquay.model.CustomerId;
import java.util.Comparator;
import java.util.TreeSet;

/** The waiting requests of one customer in one class, and its counter of tokens served. */
final class CustomerQueue<T> {
  /** Customer with the fewest tokens served first. */
  static final Comparator<CustomerQueue<?>> LEAST_SERVED =
      Comparator.<CustomerQueue<?>>comparingDouble(queue -> queue.counter)
          .thenComparing(queue -> queue.customer);

  private static final Comparator<WaitingRequest<?>> EARLIEST_DEADLINE =
      Comparator.<WaitingRequest<?>>comparingLong(WaitingRequest::deadlineNanos)
          .thenComparingLong(waiting -> waiting.arrival);

  final CustomerId customer;
  final TreeSet<WaitingRequest<T>> requests = new TreeSet<>(EARLIEST_DEADLINE);

  /**
   * Tokens served, on the scale of the virtual time of the class. It must not be changed while this
   * queue is in a sorted set.
   */
  double counter;

  CustomerQueue(CustomerId customer, double counter) {
    this.customer = customer;
    this.counter = counter;
  }

  static Comparator<WaitingRequest<?>> earliestDeadline() {
    return EARLIEST_DEADLINE;
  }
}
