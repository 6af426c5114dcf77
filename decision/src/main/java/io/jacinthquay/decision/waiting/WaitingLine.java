package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.model.Tier;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The requests of one router that wait for capacity in one pool.
 *
 * @param <T> type of the queued items
 */
public interface WaitingLine<T> {
  /** Returns the number of waiting requests. */
  int size();

  /** Returns whether no request waits. */
  default boolean isEmpty() {
    return size() == 0;
  }

  /**
   * Records the arrival of a request and returns whether it may be sent at once if an upstream has
   * capacity, ahead of those that wait.
   */
  boolean arrive(PoolRequest work, long now);

  /**
   * Adds a request, or rejects it.
   *
   * @param hasPlace whether an upstream has capacity for the request now
   * @param displaced receives the request that has to leave the full queue instead, if any
   */
  Verdict<T> add(Waiter<T> waiter, BooleanSupplier hasPlace, long now, List<Verdict<T>> displaced);

  /**
   * Returns a request to the queue that was sent and did not run. Answers plain services whose
   * slots many routers share, and pools that fail in part: after a random pause the request may be
   * sent again, rather than at the same time as those that were rejected with it.
   *
   * @param random uniform, 0 to 1
   */
  void addAgain(Waiter<T> waiter, long now, double random);

  /** Removes a request, such as one whose caller disconnected. */
  void remove(T item);

  /** Offers capacity to the requests in order and removes those that are sent. */
  void offer(Places<T> places, long now);

  /** Removes and returns the requests that are to be rejected now. */
  List<Verdict<T>> removeHopeless(Places<T> places, long now);

  /**
   * Returns the expected wait of a request of a tier that would arrive now, in milliseconds; 0 if
   * that isn't known.
   */
  double waitMillis(Tier tier, long now);

  /**
   * Returns the time after which a rejected caller should retry, in seconds.
   *
   * @param random uniform, 0 to 1
   */
  double retrySeconds(PoolRequest work, long now, double random);

  /** Returns the waiting requests by pool and tier. */
  Map<WaitingWork.Key, WaitingWork> work();

  /** Sends waiting requests. */
  interface Places<T> {
    /** Returns whether an upstream has capacity for the request. */
    boolean hasPlace(T item);

    /** Sends or ends the request; false if no upstream has capacity for it. */
    boolean tryDispatch(T item);
  }
}
