package io.jacinthquay.decision.fairness;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A queue of the waiting requests of one scope, in the order in which they get slots.
 *
 * <p>The highest tier comes first. Within a tier, the class whose next request has the earliest
 * deadline comes first, but a request that can still be on time precedes one that cannot. Within a
 * class, the customer with the fewest tokens served comes first. Each operation takes time
 * logarithmic in the number of customers and requests and linear in the number of classes. This
 * class is not thread-safe.
 *
 * @param <T> type of the attachments of requests
 */
public final class WaitingQueue<T> {
  private final Map<ClassName, ClassQueue<T>> classes = new HashMap<>();
  private final List<List<ClassQueue<T>>> tiers = new ArrayList<>();
  private int size;
  private long arrivals;

  /** Creates an empty queue. */
  public WaitingQueue() {
    for (int tier = 0; tier <= Tier.MAX; tier++) {
      tiers.add(new ArrayList<>());
    }
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return size;
  }

  /** Returns whether no request is waiting. */
  public boolean isEmpty() {
    return size == 0;
  }

  /**
   * Adds a request.
   *
   * @param excessTokens last known excess of the customer's counter over its class, in tokens; used
   *     only if the customer is not yet known to this queue
   */
  public void add(long nowNanos, WaitingRequest<T> waiting, double excessTokens) {
    waiting.arrival = arrivals++;
    classQueue(waiting.policy()).add(nowNanos, waiting, excessTokens);
    size++;
  }

  /** Removes a request and returns whether it was waiting. */
  public boolean remove(WaitingRequest<T> waiting) {
    ClassQueue<T> queue = classes.get(waiting.policy().name());
    boolean removed = queue != null && queue.remove(waiting);
    if (removed) {
      size--;
    }
    return removed;
  }

  /** Guarantees that a waiting request is not shed; it then precedes others of its class. */
  public void guarantee(long nowNanos, WaitingRequest<T> waiting) {
    if (waiting.guaranteed() || !remove(waiting)) {
      return;
    }
    waiting.guarantee();
    ClassQueue<T> queue = classQueue(waiting.policy());
    long floorStart = queue.floorStartNanos();
    queue.add(nowNanos, waiting, 0);
    queue.restartFloor(floorStart);
    size++;
  }

  /** Returns the next request in order, or nothing if the queue is empty. */
  public Optional<WaitingRequest<T>> head(long nowNanos) {
    for (List<ClassQueue<T>> tier : tiers) {
      WaitingRequest<T> best = null;
      for (ClassQueue<T> queue : tier) {
        WaitingRequest<T> head = queue.head();
        if (head != null && (best == null || precedes(head, best, nowNanos))) {
          best = head;
        }
      }
      if (best != null) {
        return Optional.of(best);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the next request of the class whose floor is overdue the longest, or nothing if no
   * floor is due.
   *
   * @param fraction part of the floor interval after which a floor is due, 0 to 1
   */
  public Optional<WaitingRequest<T>> floorHead(long nowNanos, double fraction) {
    ClassQueue<T> longest = null;
    long longestOverdue = -1;
    for (ClassQueue<T> queue : classes.values()) {
      long overdue = nowNanos - floorDue(queue, fraction);
      if (queue.size() > 0 && overdue > longestOverdue) {
        longest = queue;
        longestOverdue = overdue;
      }
    }
    return longest == null ? Optional.empty() : Optional.of(longest.head());
  }

  /** Returns whether a fraction of the floor interval of a class has passed without a dispatch. */
  public boolean floorPassed(long nowNanos, ClassName name, double fraction) {
    ClassQueue<T> queue = classes.get(name);
    return queue != null && queue.size() > 0 && nowNanos >= floorDue(queue, fraction);
  }

  /**
   * Returns the request to shed first: in the lowest tier and its longest class, the last request
   * of the customer with the most tokens served.
   */
  public Optional<WaitingRequest<T>> shedCandidate() {
    for (int tier = Tier.MAX; tier >= 0; tier--) {
      WaitingRequest<T> last = null;
      int longest = 0;
      for (ClassQueue<T> queue : tiers.get(tier)) {
        WaitingRequest<T> candidate = queue.shedCandidate();
        if (candidate != null && queue.size() > longest) {
          last = candidate;
          longest = queue.size();
        }
      }
      if (last != null) {
        return Optional.of(last);
      }
    }
    return Optional.empty();
  }

  /** Removes a request that gets a slot and charges its customer the expected tokens. */
  public void dispatch(long nowNanos, WaitingRequest<T> waiting, double tokens) {
    ClassQueue<T> queue = classQueue(waiting.policy());
    int sizeBefore = queue.size();
    queue.dispatch(waiting);
    size -= sizeBefore - queue.size();
    queue.restartFloor(nowNanos);
    queue.charge(waiting.customer(), tokens);
  }

  /** Records that a class got a slot, which restarts its floor interval. */
  public void recordServed(long nowNanos, ClassPolicy policy) {
    classQueue(policy).restartFloor(nowNanos);
  }

  /** Adds tokens to the counter of a customer; a correction may be negative. */
  public void charge(ClassPolicy policy, CustomerId customer, double tokens) {
    classQueue(policy).charge(customer, tokens);
  }

  /** Returns the excess of a customer's counter over its class, in tokens, 0 or more. */
  public double excessTokens(ClassName name, CustomerId customer) {
    ClassQueue<T> queue = classes.get(name);
    return queue == null ? 0 : queue.excessTokens(customer);
  }

  /** Removes idle customers whose counters have no effect; call it every few seconds. */
  public void prune() {
    classes.values().forEach(ClassQueue::prune);
  }

  /** Returns the names of the classes with waiting requests. */
  public Collection<ClassName> waitingClasses() {
    return classes.entrySet().stream()
        .filter(entry -> entry.getValue().size() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  private static long floorDue(ClassQueue<?> queue, double fraction) {
    long interval = queue.policy().floorIntervalMs() * 1_000_000L;
    return queue.floorStartNanos() + (long) (fraction * interval);
  }

  private static boolean precedes(
      WaitingRequest<?> candidate, WaitingRequest<?> best, long nowNanos) {
    boolean feasible = candidate.feasible(nowNanos);
    if (feasible != best.feasible(nowNanos)) {
      return feasible;
    }
    return candidate.deadlineNanos() < best.deadlineNanos();
  }

  private ClassQueue<T> classQueue(ClassPolicy policy) {
    ClassQueue<T> queue = classes.get(policy.name());
    if (queue == null) {
      queue = new ClassQueue<>(policy);
      classes.put(policy.name(), queue);
      tiers.get(policy.tier().value()).add(queue);
      return queue;
    }
    if (!queue.policy().equals(policy)) {
      tiers.get(queue.policy().tier().value()).remove(queue);
      queue.setPolicy(policy);
      tiers.get(policy.tier().value()).add(queue);
    }
    return queue;
  }
}
