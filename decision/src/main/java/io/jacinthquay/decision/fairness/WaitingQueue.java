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
 * The waiting requests of one scope in the order in which they get slots.
 *
 * <p>The highest tier comes first. Within a tier the class whose next request is due first, where a
 * request that can no longer be on time yields to one that can. Within a class the customer with
 * the fewest tokens served. Each step costs time logarithmic in the number of customers and
 * requests and linear in the number of classes. Not safe for use by several threads.
 *
 * @param <T> what the user attaches to a request
 */
public final class WaitingQueue<T> {
  private final Map<ClassName, ClassQueue<T>> classes = new HashMap<>();
  private final List<List<ClassQueue<T>>> tiers = new ArrayList<>();
  private int size;
  private long arrivals;

  /** Makes an empty queue. */
  public WaitingQueue() {
    for (int tier = 0; tier <= Tier.MAX; tier++) {
      tiers.add(new ArrayList<>());
    }
  }

  /** Returns how many requests wait. */
  public int size() {
    return size;
  }

  /** Returns whether none waits. */
  public boolean isEmpty() {
    return size == 0;
  }

  /**
   * Adds a request.
   *
   * @param lag how far its customer was ahead when last heard, for a customer not known here
   */
  public void add(long nowNanos, Waiting<T> waiting, double lag) {
    waiting.arrival = arrivals++;
    classQueue(waiting.policy()).add(nowNanos, waiting, lag);
    size++;
  }

  /** Removes a request and returns whether it waited. */
  public boolean remove(Waiting<T> waiting) {
    ClassQueue<T> queue = classes.get(waiting.policy().name());
    boolean removed = queue != null && queue.remove(waiting);
    if (removed) {
      size--;
    }
    return removed;
  }

  /** Keeps a waiting request from being shed; it now comes first in its tier. */
  public void makeFirm(long nowNanos, Waiting<T> waiting) {
    if (waiting.firm() || !remove(waiting)) {
      return;
    }
    waiting.makeFirm();
    ClassQueue<T> queue = classQueue(waiting.policy());
    long floorBase = queue.floorBaseNanos();
    queue.add(nowNanos, waiting, 0);
    queue.served(floorBase);
    size++;
  }

  /** Returns the request that is next in order. */
  public Optional<Waiting<T>> head(long nowNanos) {
    for (List<ClassQueue<T>> tier : tiers) {
      Waiting<T> best = null;
      for (ClassQueue<T> queue : tier) {
        Waiting<T> head = queue.head();
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

  /** Returns the next request of the class whose floor has been due for longest, if any is. */
  public Optional<Waiting<T>> floorHead(long nowNanos, double share) {
    ClassQueue<T> longest = null;
    long longestOver = -1;
    for (ClassQueue<T> queue : classes.values()) {
      long over = nowNanos - floorDue(queue, share);
      if (queue.size() > 0 && over > longestOver) {
        longest = queue;
        longestOver = over;
      }
    }
    return longest == null ? Optional.empty() : Optional.of(longest.head());
  }

  /** Returns whether a share of the floor interval of a class has passed without a dispatch. */
  public boolean floorPassed(long nowNanos, ClassName name, double share) {
    ClassQueue<T> queue = classes.get(name);
    return queue != null && queue.size() > 0 && nowNanos >= floorDue(queue, share);
  }

  /** Returns the request to shed first: of the lowest tier, of its most served customer, last. */
  public Optional<Waiting<T>> worst() {
    for (int tier = Tier.MAX; tier >= 0; tier--) {
      Waiting<T> worst = null;
      int longest = 0;
      for (ClassQueue<T> queue : tiers.get(tier)) {
        Waiting<T> candidate = queue.worst();
        if (candidate != null && queue.size() > longest) {
          worst = candidate;
          longest = queue.size();
        }
      }
      if (worst != null) {
        return Optional.of(worst);
      }
    }
    return Optional.empty();
  }

  /** Takes a request out to be served and charges its customer the tokens expected. */
  public void dispatch(long nowNanos, Waiting<T> waiting, double tokens) {
    ClassQueue<T> queue = classQueue(waiting.policy());
    int before = queue.size();
    queue.dispatched(waiting);
    size -= before - queue.size();
    queue.served(nowNanos);
    queue.charge(waiting.customer(), tokens);
  }

  /** Takes in that a class got a slot. */
  public void served(long nowNanos, ClassPolicy policy) {
    classQueue(policy).served(nowNanos);
  }

  /** Adds tokens to the counter of a customer; a correction may be negative. */
  public void charge(ClassPolicy policy, CustomerId customer, double tokens) {
    classQueue(policy).charge(customer, tokens);
  }

  /** Returns how far a customer is ahead of its class, in tokens. */
  public double lag(ClassName name, CustomerId customer) {
    ClassQueue<T> queue = classes.get(name);
    return queue == null ? 0 : queue.lag(customer);
  }

  /** Forgets idle customers whose counters no longer matter; call it every few seconds. */
  public void prune() {
    classes.values().forEach(ClassQueue::prune);
  }

  /** Returns the classes with waiting requests. */
  public Collection<ClassName> waitingClasses() {
    return classes.entrySet().stream()
        .filter(entry -> entry.getValue().size() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  private static long floorDue(ClassQueue<?> queue, double share) {
    long interval = queue.policy().floorIntervalMs() * 1_000_000L;
    return queue.floorBaseNanos() + (long) (share * interval);
  }

  private static boolean precedes(Waiting<?> one, Waiting<?> other, long nowNanos) {
    boolean feasible = one.feasible(nowNanos);
    if (feasible != other.feasible(nowNanos)) {
      return feasible;
    }
    return one.deadlineNanos() < other.deadlineNanos();
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
      queue.policy(policy);
      tiers.get(policy.tier().value()).add(queue);
    }
    return queue;
  }
}
