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
 * virtual time is the largest counter at which a customer was served; a customer that begins to
 * wait is lifted to it, so that idle time banks no credit.
 */
final class ClassQueue<T> {
  private final Map<CustomerId, CustomerQueue<T>> customers = new HashMap<>();
  private final TreeSet<CustomerQueue<T>> backlogged = new TreeSet<>(CustomerQueue.LEAST_SERVED);
  private final TreeSet<Waiting<T>> firm = new TreeSet<>(CustomerQueue.earliestDeadline());
  private ClassPolicy policy;
  private double virtualTime;
  private int size;
  private long floorBaseNanos;

  ClassQueue(ClassPolicy policy) {
    this.policy = policy;
  }

  ClassPolicy policy() {
    return policy;
  }

  void policy(ClassPolicy next) {
    policy = next;
  }

  int size() {
    return size;
  }

  /** Returns when the wait for the next floor began: the last dispatch or the first arrival. */
  long floorBaseNanos() {
    return floorBaseNanos;
  }

  void served(long nowNanos) {
    floorBaseNanos = nowNanos;
  }

  void add(long nowNanos, Waiting<T> waiting, double lag) {
    if (size == 0) {
      floorBaseNanos = Math.max(floorBaseNanos, nowNanos);
    }
    size++;
    if (waiting.firm()) {
      firm.add(waiting);
      return;
    }
    CustomerQueue<T> queue = customer(waiting.customer(), lag);
    if (queue.requests.isEmpty()) {
      queue.counter = Math.max(queue.counter, virtualTime);
      backlogged.add(queue);
    }
    queue.requests.add(waiting);
  }

  boolean remove(Waiting<T> waiting) {
    if (firm.remove(waiting)) {
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
      forgetIfIdle(queue);
    }
    return true;
  }

  /** Returns the next request, or null if none waits. */
  Waiting<T> head() {
    if (!firm.isEmpty()) {
      return firm.first();
    }
    return backlogged.isEmpty() ? null : backlogged.first().requests.first();
  }

  /** Returns the last request of the most served customer, or null if none may be shed. */
  Waiting<T> worst() {
    boolean none = policy.mustFinish() || backlogged.isEmpty();
    return none ? null : backlogged.last().requests.last();
  }

  /** Takes a request out to be served, and moves the virtual time to its customer's counter. */
  void dispatched(Waiting<T> waiting) {
    CustomerQueue<T> queue = customers.get(waiting.customer());
    if (queue != null) {
      virtualTime = Math.max(virtualTime, queue.counter);
    }
    remove(waiting);
  }

  /** Adds tokens to the counter of a customer; a correction may be negative. */
  void charge(CustomerId id, double tokens) {
    CustomerQueue<T> queue = customer(id, 0);
    boolean waits = !queue.requests.isEmpty();
    if (waits) {
      backlogged.remove(queue);
    }
    queue.counter += tokens;
    if (waits) {
      backlogged.add(queue);
    }
    if (backlogged.isEmpty()) {
      virtualTime = Math.max(virtualTime, queue.counter);
      forgetIfIdle(queue);
    }
  }

  /** Returns how far the counter of a customer is ahead of the virtual time, in tokens. */
  double lag(CustomerId id) {
    CustomerQueue<T> queue = customers.get(id);
    return queue == null ? 0 : Math.max(0, queue.counter - virtualTime);
  }

  /** Forgets idle customers whose counter no longer matters. */
  void prune() {
    customers.values().removeIf(q -> q.requests.isEmpty() && q.counter <= virtualTime);
  }

  private CustomerQueue<T> customer(CustomerId id, double lag) {
    return customers.computeIfAbsent(id, key -> new CustomerQueue<>(key, virtualTime + lag));
  }

  private void forgetIfIdle(CustomerQueue<T> queue) {
    if (queue.requests.isEmpty() && queue.counter <= virtualTime) {
      customers.remove(queue.customer);
    }
  }
}
