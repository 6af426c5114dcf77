package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.RequestQueue;
import io.jacinthquay.model.Tier;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * A queue of this router alone that rejects a request after a fixed share of its target.
 *
 * <p>Answers bursts beyond capacity where rates are not learned: by tier, then by arrival.
 */
public final class TierLine<T> implements WaitingLine<T> {
  /** Longest wait for an upstream before a request is rejected, as a share of its target time. */
  private static final double MAX_WAIT_SHARE = 0.8;

  /** Longest wait as a share of the request's time limit; leaves time for a retry. */
  private static final int LIMIT_DIVISOR = 3;

  /** Retry delay sent with a rejection, as a share of the request's target time. */
  private static final double RETRY_DELAY_SHARE = 0.6;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestQueue<T> queue = new RequestQueue<>();

  @Override
  public int size() {
    return queue.size();
  }

  @Override
  public boolean arrive(PoolRequest work, long now) {
    return true;
  }

  @Override
  public Verdict<T> add(
      Waiter<T> waiter, BooleanSupplier hasPlace, long now, List<Verdict<T>> displaced) {
    List<T> removed = new ArrayList<>();
    boolean added =
        queue.add(waiter.item(), waiter.work(), expiryNanos(waiter.work(), now), removed);
    removed.forEach(item -> displaced.add(new Verdict<>(item, Admission.OVERDUE, "")));
    return new Verdict<>(waiter.item(), added ? Admission.ON_TIME : Admission.FULL, "");
  }

  private static long expiryNanos(PoolRequest work, long now) {
    long limitMillis = (work.deadlineNanos() - work.arrivedNanos()) / NANOS_PER_MILLI;
    long maxWaitMillis =
        Math.min(
            (long) (work.targetMillis() * MAX_WAIT_SHARE),
            Math.max(0, limitMillis / LIMIT_DIVISOR));
    return now + maxWaitMillis * NANOS_PER_MILLI;
  }

  @Override
  public void addAgain(Waiter<T> waiter, long now, double random) {
    throw new UnsupportedOperationException("requests that did not run are not queued again");
  }

  @Override
  public void remove(T item) {
    queue.remove(item);
  }

  @Override
  public void offer(Places<T> places, long now) {
    queue.offer(places::tryDispatch);
  }

  @Override
  public List<Verdict<T>> removeHopeless(Places<T> places, long now) {
    return queue.expired(now).stream()
        .map(item -> new Verdict<>(item, Admission.OVERDUE, ""))
        .toList();
  }

  @Override
  public double waitMillis(Tier tier, long now) {
    return 0;
  }

  @Override
  public double retrySeconds(PoolRequest work, long now, double random) {
    return RETRY_DELAY_SHARE * work.targetMillis() / 1_000 * (0.5 + random);
  }

  @Override
  public Map<WaitingWork.Key, WaitingWork> work() {
    return Map.of();
  }
}
