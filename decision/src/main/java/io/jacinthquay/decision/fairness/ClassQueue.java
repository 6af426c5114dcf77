package io.jacinthquay.decision.fairness;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The waiting requests of one class, shared fairly between its customers.
 *
 * <p>Start-time fair queueing over tokens: the customer with the smallest counter is next. The
 * virtual time is the largest counter at which a customer was served. The counter of a customer
 * that becomes backlogged is raised to the virtual time, so that idle time earns no credit.
 */
final class ClassQueue<T> {
  private final Map<CustomerId, CustomerQueue<T>> customers = new HashMap<>();
  private final TreeSet<CustomerQueue<T>> backlogged = new TreeSet<>(CustomerQueue.LEAST_SERVED);
  private final TreeSet<WaitingRequest<T>> guaranteed =
      new TreeSet<>(CustomerQueue.earliestDeadline());
  private ClassPolicy policy;
  private double virtualTime;
  private int size;
  private long floorStartNanos;

  ClassQueue(ClassPolicy policy) {
    this.policy = policy;
  }

  ClassPolicy policy() {
    return policy;
  }

  void setPolicy(ClassPolicy next) {
    policy = next;
  }

  int size() {
    return size;
  }

  /** Returns the start of the current floor interval: the last dispatch or the first arrival. */
  long floorStartNanos() {
    return floorStartNanos;
  }

  void restartFloor(long nowNanos) {
    floorStartNanos = nowNanos;
  }

  void add(long nowNanos, WaitingRequest<T> waiting, double excessTokens) {
    if (size == 0) {
      floorStartNanos = Math.max(floorStartNanos, nowNanos);
    }
    size++;
    if (waiting.guaranteed()) {
      guaranteed.add(waiting);
      return;
    }
    CustomerQueue<T> queue = customer(waiting.customer(), excessTokens);
    if (queue.requests.isEmpty()) {
      queue.counter = Math.max(queue.counter, virtualTime);
      backlogged.add(queue);
    }
    queue.requests.add(waiting);
  }

  boolean remove(WaitingRequest<T> waiting) {
    if (guaranteed.remove(waiting)) {
      size--;
      return true;
    }
    CustomerQueue<T> queue = customers.get(waiting.customer());
    if (queue == null || !queue.requests.remove(waiting)) {
      return false;
    }
    size--;
    if (queue.requests.isEmpty()) {
      backlogged.remove(queue);
      removeIfIdle(queue);
    }
    return true;
  }

  /** Returns the next request, or null if the queue is empty. */
  WaitingRequest<T> head() {
    if (!guaranteed.isEmpty()) {
      return guaranteed.first();
    }
    return backlogged.isEmpty() ? null : backlogged.first().requests.first();
  }

  /**
   * Returns the last request of the customer with the most tokens served, or null if none may be
   * shed.
   */
  WaitingRequest<T> shedCandidate() {
    boolean none = policy.mustFinish() || backlogged.isEmpty();
    return none ? null : backlogged.last().requests.last();
  }

  /** Removes a request that gets a slot and advances the virtual time to its customer's counter. */
  void dispatch(WaitingRequest<T> waiting) {
    CustomerQueue<T> queue = customers.get(waiting.customer());
    if (queue != null) {
      virtualTime = Math.max(virtualTime, queue.counter);
    }
    remove(waiting);
  }

  /** Adds tokens to the counter of a customer; a correction may be negative. */
  void charge(CustomerId id, double tokens) {
    CustomerQueue<T> queue = customer(id, 0);
    boolean wasBacklogged = !queue.requests.isEmpty();
    if (wasBacklogged) {
      backlogged.remove(queue);
    }
    queue.counter += tokens;
    if (wasBacklogged) {
      backlogged.add(queue);
    }
    if (backlogged.isEmpty()) {
      virtualTime = Math.max(virtualTime, queue.counter);
      removeIfIdle(queue);
    }
  }

  /** Returns the excess of a customer's counter over the virtual time, in tokens, 0 or more. */
  double excessTokens(CustomerId id) {
    CustomerQueue<T> queue = customers.get(id);
    return queue == null ? 0 : Math.max(0, queue.counter - virtualTime);
  }

  /** Removes idle customers whose counter does not exceed the virtual time. */
  void prune() {
    customers.values().removeIf(queue -> queue.requests.isEmpty() && queue.counter <= virtualTime);
  }

  private CustomerQueue<T> customer(CustomerId id, double excessTokens) {
    return customers.computeIfAbsent(
        id, key -> new CustomerQueue<>(key, virtualTime + excessTokens));
  }

  private void removeIfIdle(CustomerQueue<T> queue) {
    if (queue.requests.isEmpty() && queue.counter <= virtualTime) {
      customers.remove(queue.customer);
    }
  }
}
