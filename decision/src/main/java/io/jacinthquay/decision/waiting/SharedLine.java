package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.model.Tier;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * This router's part of one queue that all routers share.
 *
 * <p>Answers waves of load over many routers, in which all requests would wait and all be late
 * together. Requests are sent by tier, then those that can still be on time, then by the tokens
 * that their customer was served, then by the time that their caller has waited. A request waits
 * only if the work ahead of it at all routers leaves time for its answer; otherwise it is rejected
 * as it arrives. While more urgent work waits at other routers, less urgent requests leave free
 * places to it for a short time.
 */
public final class SharedLine<T> implements WaitingLine<T> {
  /** Most requests queued at one router; bounds the memory for them and the time to sort them. */
  private static final int MAX_WAITING = 128;

  /**
   * Part of the time left within which a late answer must be expected. The rest covers an estimate
   * that is too low by half, so that few requests wait long and are then rejected.
   */
  private static final double LATE_SHARE = 0.5;

  /**
   * Share of the tokens sent that a less urgent tier with waiting requests gets at least, so that
   * no kind starves beside a more urgent one.
   */
  private static final double FLOOR_SHARE = 0.1;

  /**
   * Least share of the drain rate that is assumed to be left for late requests. Under 1.6 times the
   * load that the pool takes, 0.1 had 7 % of the requests rejected after a wait beyond their target
   * and 0.03 had 0.7 %; 79.7 and 79.6 % were served in these trials.
   */
  private static final double MIN_LATE_SHARE = 0.03;

  /** Most tokens that a tier saves up for its floor; some large prompts. */
  private static final double MAX_CREDIT_TOKENS = 20_000;

  /**
   * One of so many sends ignores how much customers were served, so that one with several times the
   * load of the others is served at least a quarter as often.
   */
  private static final int TURN_BY_ARRIVAL = 3;

  /**
   * Longest time for which a place that is known to be free is left to more urgent work at other
   * routers; a third of the longest interval between reports.
   */
  private static final double MAX_HOLD_MILLIS = 100;

  /**
   * Hold as a multiple of the time in which the more urgent work drains, since other routers learn
   * of a free place only with the next report.
   */
  private static final double HOLD_FACTOR = 2;

  /**
   * Requests in order that may decline before the rest is not asked; each asks for the cost of all
   * upstreams.
   */
  private static final int MAX_DECLINES = 8;

  /** Shortest interval between two checks of all waiting requests, in nanoseconds. */
  private static final long CHECK_NANOS = 50_000_000L;

  private static final double NANOS_PER_MILLI = 1e6;

  private static final class Entry<T> {
    final Waiter<T> waiter;
    final long sequence;
    final long notBeforeNanos;
    boolean onTime;
    int level;

    Entry(Waiter<T> waiter, long sequence, long notBeforeNanos) {
      this.waiter = waiter;
      this.sequence = sequence;
      this.notBeforeNanos = notBeforeNanos;
    }

    int tier() {
      return waiter.work().tier().value();
    }
  }

  private final PoolView view;
  private final ArrivalLoad arrivals = new ArrivalLoad();
  private final List<Entry<T>> entries = new ArrayList<>();
  private final Comparator<Entry<T>> byArrival =
      Comparator.comparingInt((Entry<T> entry) -> entry.tier())
          .thenComparing(entry -> !entry.onTime)
          .thenComparingLong(entry -> entry.waiter.begunNanos())
          .thenComparingLong(entry -> entry.sequence);
  private final Comparator<Entry<T>> byCustomer =
      Comparator.comparingInt((Entry<T> entry) -> entry.tier())
          .thenComparing(entry -> !entry.onTime)
          .thenComparingInt(entry -> entry.level)
          .thenComparingLong(entry -> entry.waiter.begunNanos())
          .thenComparingLong(entry -> entry.sequence);
  private final double[] creditTokens = new double[Tier.MAX + 1];
  private long sequence;
  private long sends;
  private long checkedNanos;
  private boolean holding;
  private long heldSinceNanos;

  /** Returns an empty queue. */
  public SharedLine(PoolView view) {
    this.view = view;
  }

  @Override
  public int size() {
    return entries.size();
  }

  @Override
  public boolean arrive(PoolRequest work, long now) {
    arrivals.record(work.tier(), work.ownTokens(), now);
    boolean next =
        holdMillis(work.tier(), now) <= 0
            && entries.stream().noneMatch(entry -> entry.tier() <= work.tier().value());
    if (next) {
      addCredit(work);
    }
    return next;
  }

  /** Adds to the credit of less urgent tiers that wait while a request is sent. */
  private void addCredit(PoolRequest sent) {
    int tier = sent.tier().value();
    creditTokens[tier] = Math.max(0, creditTokens[tier] - sent.ownTokens());
    for (int i = tier + 1; i <= Tier.MAX; i++) {
      int waitingTier = i;
      if (entries.stream().anyMatch(entry -> entry.tier() == waitingTier)) {
        double credit = creditTokens[i] + FLOOR_SHARE * sent.ownTokens();
        creditTokens[i] = Math.min(MAX_CREDIT_TOKENS, credit);
      }
    }
  }

  @Override
  public Verdict<T> add(
      Waiter<T> waiter, BooleanSupplier hasPlace, long now, List<Verdict<T>> displaced) {
    Entry<T> entry = new Entry<>(waiter, sequence++, now);
    WaitEstimate estimate = estimate(entry, now);
    Admission admission = admission(waiter.work(), estimate, hasPlace, now);
    if (admission.waits()) {
      entries.add(entry);
      Entry<T> removed = entries.size() > MAX_WAITING ? removeLast(now) : null;
      if (removed == entry) {
        admission = Admission.FULL;
      } else if (removed != null) {
        displaced.add(new Verdict<>(removed.waiter.item(), Admission.FULL, text(estimate, now)));
      }
    }
    return new Verdict<>(waiter.item(), admission, text(estimate, now));
  }

  private Entry<T> removeLast(long now) {
    Entry<T> last = sorted(byCustomer, now).get(entries.size() - 1);
    entries.remove(last);
    return last;
  }

  private static Admission admission(
      PoolRequest work, WaitEstimate estimate, BooleanSupplier hasPlace, long now) {
    if (estimate.onTime()) {
      return Admission.ON_TIME;
    }
    boolean answerable = estimate.totalMillis() <= LATE_SHARE * leftMillis(work, now);
    return answerable || hasPlace.getAsBoolean() ? Admission.LATE : Admission.HOPELESS;
  }

  private String text(WaitEstimate estimate, long now) {
    DrainRate drain = view.drain(now);
    return String.format(
        "wait:%.0fms,first:%.0fms,ahead:%d,aheadTokens:%d,tokensPerMilli:%.1f,perSecond:%.0f,"
            + "viewAgeMillis:%d",
        estimate.waitMillis(),
        estimate.firstMillis(),
        estimate.ahead().requests(),
        estimate.ahead().promptTokens(),
        drain.tokensPerMilli(),
        drain.requestsPerMilli() * 1_000,
        view.ageMillis(now));
  }

  @Override
  public void addAgain(Waiter<T> waiter, long now, double random) {
    double pauseMillis = random * view.firstMillis(now);
    entries.add(new Entry<>(waiter, sequence++, now + (long) (pauseMillis * NANOS_PER_MILLI)));
  }

  @Override
  public void remove(T item) {
    entries.removeIf(entry -> entry.waiter.item() == item);
  }

  private static double leftMillis(PoolRequest work, long now) {
    return (work.deadlineNanos() - now) / NANOS_PER_MILLI;
  }

  private static double targetLeftMillis(PoolRequest work, long now) {
    return work.targetMillis() - (now - work.arrivedNanos()) / NANOS_PER_MILLI;
  }

  /** Returns the waiting requests in order, with their keys as of now. */
  private List<Entry<T>> sorted(Comparator<Entry<T>> order, long now) {
    entries.forEach(entry -> rank(entry, now));
    List<Entry<T>> sorted = new ArrayList<>(entries);
    sorted.sort(order);
    return sorted;
  }

  private void rank(Entry<T> entry, long now) {
    entry.onTime = view.firstMillis(now) <= targetLeftMillis(entry.waiter.work(), now);
    entry.level = view.servedLevel(entry.waiter.customer());
  }

  /** Returns the waiting requests in the order in which capacity is offered to them. */
  private List<Entry<T>> offerOrder(long now) {
    List<Entry<T>> order = sorted(sends % TURN_BY_ARRIVAL == 0 ? byArrival : byCustomer, now);
    for (int i = 1; i <= Tier.MAX; i++) {
      int tier = i;
      if (creditTokens[tier] > 0) {
        order.stream()
            .filter(entry -> entry.tier() == tier)
            .findFirst()
            .filter(entry -> creditTokens[tier] >= entry.waiter.work().ownTokens())
            .ifPresent(
                entry -> {
                  order.remove(entry);
                  order.add(0, entry);
                });
      }
    }
    return order;
  }

  @Override
  public void offer(Places<T> places, long now) {
    boolean seen = offerInOrder(places, now);
    holding &= seen;
  }

  /** Offers capacity to the requests; returns whether a held one had a place. */
  private boolean offerInOrder(Places<T> places, long now) {
    boolean seen = false;
    int declined = 0;
    for (Entry<T> entry : offerOrder(now)) {
      if (now - entry.notBeforeNanos < 0) {
        continue;
      }
      PoolRequest work = entry.waiter.work();
      boolean floor = work.ownTokens() <= creditTokens[entry.tier()];
      double holdMillis = floor ? 0 : holdMillis(work.tier(), now);
      if (holdMillis > 0 && places.hasPlace(entry.waiter.item())) {
        seen = true;
        if (isHeld(holdMillis, now)) {
          return true;
        }
      }
      if (places.tryDispatch(entry.waiter.item())) {
        entries.remove(entry);
        addCredit(work);
        sends++;
      } else if (!work.hasPlacementPreference() || ++declined >= MAX_DECLINES) {
        return seen;
      }
    }
    return seen;
  }

  /** Returns how long a request of a tier leaves places to more urgent work of other routers. */
  private double holdMillis(Tier tier, long now) {
    WaitingWork urgent = elsewhere(tier.value() - 1, now);
    return urgent.requests() == 0
        ? 0
        : Math.min(MAX_HOLD_MILLIS, HOLD_FACTOR * view.drain(now).millis(urgent));
  }

  /** Returns whether a place is left to more urgent work that waits at other routers. */
  private boolean isHeld(double holdMillis, long now) {
    if (!holding) {
      holding = true;
      heldSinceNanos = now;
    }
    return (now - heldSinceNanos) / NANOS_PER_MILLI < holdMillis;
  }

  @Override
  public List<Verdict<T>> removeHopeless(Places<T> places, long now) {
    if (now - checkedNanos < CHECK_NANOS || entries.isEmpty()) {
      return List.of();
    }
    checkedNanos = now;
    List<Verdict<T>> hopeless = new ArrayList<>();
    // The estimate of a request leaves out those that are removed before it.
    for (Entry<T> entry : sorted(byCustomer, now)) {
      PoolRequest work = entry.waiter.work();
      WaitEstimate estimate = estimate(entry, now);
      if (estimate.totalMillis() > leftMillis(work, now) && !places.hasPlace(entry.waiter.item())) {
        entries.remove(entry);
        hopeless.add(new Verdict<>(entry.waiter.item(), Admission.HOPELESS, text(estimate, now)));
      }
    }
    return hopeless;
  }

  /**
   * Returns the work that is sent before a request, at all routers. Of the work of its own tier at
   * other routers, the same share counts as here, since queues at all routers are much alike.
   */
  private WaitingWork ahead(Entry<T> entry, long now) {
    int requests = 0;
    long tokens = 0;
    int before = 1;
    int all = 1;
    for (Entry<T> other : entries) {
      boolean first = other != entry && byCustomer.compare(other, entry) < 0;
      if (first) {
        requests++;
        tokens += other.waiter.work().ownTokens();
      }
      if (other != entry && other.tier() == entry.tier()) {
        before += first ? 1 : 0;
        all++;
      }
    }
    WaitingWork tier = view.waitingElsewhere(entry.tier(), now);
    return elsewhere(entry.tier() - 1, now)
        .plus(new WaitingWork(requests, tokens))
        .plus(new WaitingWork(tier.requests() * before / all, tier.promptTokens() * before / all));
  }

  /** Returns the work of a tier and of more urgent ones at the other routers. */
  private WaitingWork elsewhere(int tier, long now) {
    WaitingWork sum = WaitingWork.NONE;
    for (int i = 0; i <= tier; i++) {
      sum = sum.plus(view.waitingElsewhere(i, now));
    }
    return sum;
  }

  /** Returns the work of a request; shared parts of prompts are nearly always cached. */
  private static WaitingWork of(PoolRequest work) {
    return new WaitingWork(1, work.ownTokens());
  }

  @Override
  public double waitMillis(Tier tier, long now) {
    WaitingWork ahead = allAhead(tier, now);
    return ahead.requests() == 0 ? 0 : view.drain(now).millis(ahead);
  }

  /** Returns the work of a tier and of more urgent ones, at all routers. */
  private WaitingWork allAhead(Tier tier, long now) {
    WaitingWork ahead = elsewhere(tier.value(), now);
    for (Entry<T> entry : entries) {
      if (entry.tier() <= tier.value()) {
        ahead = ahead.plus(of(entry.waiter.work()));
      }
    }
    return ahead;
  }

  private WaitEstimate estimate(Entry<T> entry, long now) {
    rank(entry, now);
    return estimate(entry.waiter.work(), ahead(entry, now), now);
  }

  /**
   * Returns what is expected of a request behind other work. Its own prompt is left out, so that
   * the longest prompts of a kind are not rejected more often than the others.
   */
  private WaitEstimate estimate(PoolRequest work, WaitingWork ahead, long now) {
    DrainRate drain = view.drain(now);
    double waitMillis = drain.millis(ahead.plus(new WaitingWork(1, 0)));
    double firstMillis = view.firstMillis(now);
    boolean onTime = waitMillis + firstMillis <= targetLeftMillis(work, now);
    if (!onTime) {
      double taken = arrivals.share(work.tier(), drain, view.routers(), now);
      waitMillis /= Math.max(MIN_LATE_SHARE, 1 - taken);
    }
    return new WaitEstimate(ahead, waitMillis, firstMillis, onTime);
  }

  @Override
  public double retrySeconds(PoolRequest work, long now, double random) {
    WaitEstimate estimate = estimate(work, allAhead(work.tier(), now), now);
    double drainMillis = view.drain(now).millis(estimate.ahead());
    return RetryDelay.millis(estimate.waitMillis(), drainMillis, leftMillis(work, now), random)
        / 1_000;
  }

  @Override
  public Map<WaitingWork.Key, WaitingWork> work() {
    Map<WaitingWork.Key, WaitingWork> work = new HashMap<>();
    for (Entry<T> entry : entries) {
      PoolRequest request = entry.waiter.work();
      work.merge(new WaitingWork.Key(view.pool(), request.tier()), of(request), WaitingWork::plus);
    }
    return work;
  }
}
