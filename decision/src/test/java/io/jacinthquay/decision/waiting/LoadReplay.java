package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Replays load on one pool with the queues of many routers; the pool is a single backlog. */
final class LoadReplay {
  static final PoolName POOL = new PoolName("p");
  private static final int STEP_MILLIS = 10;
  private static final int REPORT_MILLIS = 300;

  /** Backlog at which the pool has no place. */
  private static final double PLACE_MILLIS = 100;

  /** Most sends of a request that did not run, as in the router. */
  private static final int MAX_SENDS = 4;

  private static final long MILLI = 1_000_000L;

  record Kind(int tier, int tokens, int target, int deadline, double lateValue) {}

  static final class Tally {
    int asked;
    int onTime;
    int late;
    int lateRejections;
    double value;

    double served() {
      return (onTime + late) / (double) asked;
    }

    Tally plus(Tally other) {
      Tally sum = new Tally();
      sum.asked = asked + other.asked;
      sum.onTime = onTime + other.onTime;
      sum.late = late + other.late;
      sum.lateRejections = lateRejections + other.lateRejections;
      sum.value = value + other.value;
      return sum;
    }

    @Override
    public String toString() {
      return String.format(
          "%d asked, value %.3f, on time %d, late %d, rejected after their target %d",
          asked, value / asked, onTime, late, lateRejections);
    }
  }

  private final class Call {
    final Kind kind;
    final CustomerId customer;
    final long arrived = now;
    final Tally tally;
    long attemptArrived = now;
    int sends;
    boolean returned;

    Call(Kind kind, CustomerId customer) {
      this.kind = kind;
      this.customer = customer;
      this.tally = tallies.computeIfAbsent(kind + "/" + customer, k -> new Tally());
      tally.asked++;
    }

    PoolRequest work() {
      return new PoolRequest(
          POOL,
          new Tier(kind.tier()),
          kind.tokens(),
          0,
          List.of(new PromptPart(1, kind.tokens())),
          kind.target(),
          0,
          attemptArrived * MILLI,
          (arrived + kind.deadline()) * MILLI,
          Optional.empty());
    }
  }

  private final class Router implements PoolView, WaitingLine.Places<Call> {
    final WaitingLine<Call> line = shared ? new SharedLine<>(this) : new TierLine<>();
    final ServedTokens served = new ServedTokens(0);
    Map<WaitingWork.Key, WaitingWork> reported = Map.of();

    @Override
    public PoolName pool() {
      return POOL;
    }

    @Override
    public DrainRate drain(long at) {
      return new DrainRate(tokensPerMilli, Double.POSITIVE_INFINITY);
    }

    @Override
    public double firstMillis(long at) {
      return backlog / tokensPerMilli;
    }

    @Override
    public WaitingWork waitingElsewhere(int tier, long at) {
      WaitingWork.Key key = new WaitingWork.Key(POOL, new Tier(tier));
      return reportedSum
          .getOrDefault(key, WaitingWork.NONE)
          .minus(reported.getOrDefault(key, WaitingWork.NONE));
    }

    @Override
    public long ageMillis(long at) {
      return 0;
    }

    @Override
    public int routers() {
      return routers.size();
    }

    @Override
    public int servedLevel(Optional<CustomerId> customer) {
      return served.level(customer);
    }

    void arrive(Call call) {
      long nanos = now * MILLI;
      boolean next = line.arrive(call.work(), nanos);
      if (!next || !tryDispatch(call)) {
        List<Verdict<Call>> displaced = new ArrayList<>();
        Verdict<Call> verdict = line.add(waiter(call), () -> hasPlace(call), nanos, displaced);
        displaced.forEach(v -> reject(v.item()));
        if (!verdict.admission().waits()) {
          reject(call);
        }
      }
    }

    Waiter<Call> waiter(Call call) {
      return new Waiter<>(call, call.work(), Optional.of(call.customer), call.arrived * MILLI);
    }

    void poll() {
      line.offer(this, now * MILLI);
      line.removeHopeless(this, now * MILLI).forEach(verdict -> reject(verdict.item()));
    }

    private void reject(Call call) {
      if (now - call.attemptArrived > call.kind.target()) {
        call.tally.lateRejections++;
      }
      double delay = line.retrySeconds(call.work(), now * MILLI, random.nextDouble()) * 1_000;
      long left = call.arrived + call.kind.deadline() - now;
      if (!call.returned) {
        call.returned = true;
        returning
            .computeIfAbsent(now + (long) Math.min(delay, left / 3.0), at -> new ArrayList<>())
            .add(call);
      }
    }

    @Override
    public boolean hasPlace(Call call) {
      return backlog / tokensPerMilli < PLACE_MILLIS;
    }

    @Override
    public boolean tryDispatch(Call call) {
      while (hasPlace(call)) {
        if (random.nextDouble() >= failing) {
          double first = now + (backlog + call.kind.tokens()) / tokensPerMilli;
          backlog += call.kind.tokens();
          served.record(call.customer, call.kind.tokens(), now * MILLI);
          boolean onTime = first <= call.arrived + call.kind.target();
          call.tally.onTime += onTime ? 1 : 0;
          call.tally.late += onTime ? 0 : 1;
          call.tally.value += onTime ? 1 : call.kind.lateValue();
          return true;
        }
        if (++call.sends == MAX_SENDS) {
          reject(call);
          return true;
        }
      }
      return false;
    }
  }

  private final boolean shared;
  private final double tokensPerMilli;
  private final double failing;
  private final SplittableRandom random = new SplittableRandom(7);
  private final List<Router> routers = new ArrayList<>();
  private final Map<Long, List<Call>> returning = new HashMap<>();
  private final Map<String, Tally> tallies = new HashMap<>();
  private Map<WaitingWork.Key, WaitingWork> reportedSum = Map.of();
  private double backlog;
  private long now = 1;

  LoadReplay(boolean shared, int routerCount, double tokensPerMilli, double failing) {
    this.shared = shared;
    this.failing = failing;
    this.tokensPerMilli = tokensPerMilli;
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Router());
    }
  }

  /** Lets requests arrive, as many as the mean says, at random routers. */
  void arrive(Kind kind, String customer, double mean, SplittableRandom arrivals) {
    int count = (int) (mean + arrivals.nextDouble());
    for (int i = 0; i < count; i++) {
      routers
          .get(arrivals.nextInt(routers.size()))
          .arrive(new Call(kind, new CustomerId(customer)));
    }
  }

  /** Passes one step of time and returns its end in milliseconds. */
  long step() {
    backlog = Math.max(0, backlog - STEP_MILLIS * tokensPerMilli);
    now += STEP_MILLIS;
    for (long at = now - STEP_MILLIS + 1; at <= now; at++) {
      for (Call call : returning.getOrDefault(at, List.of())) {
        call.attemptArrived = now;
        routers.get(random.nextInt(routers.size())).arrive(call);
      }
      returning.remove(at);
    }
    int first = random.nextInt(routers.size());
    for (int i = 0; i < routers.size(); i++) {
      routers.get((first + i) % routers.size()).poll();
    }
    if (now / REPORT_MILLIS != (now - STEP_MILLIS) / REPORT_MILLIS) {
      report();
    }
    return now;
  }

  private void report() {
    Map<WaitingWork.Key, WaitingWork> sum = new HashMap<>();
    Map<CustomerId, Double> served = new HashMap<>();
    for (Router router : routers) {
      router.reported = router.line.work();
      router.reported.forEach((key, work) -> sum.merge(key, work, WaitingWork::plus));
      router.served.report(now * MILLI).forEach((c, t) -> served.merge(c, t, Double::sum));
    }
    reportedSum = sum;
    for (Router router : routers) {
      Map<CustomerId, Double> others = new HashMap<>(served);
      router.served.report(now * MILLI).forEach((c, t) -> others.merge(c, -t, Double::sum));
      router.served.updateOthers(others);
    }
  }

  /** Returns the sum over requests whose kind and customer contain a text. */
  Tally tally(String text) {
    return tallies.entrySet().stream()
        .filter(entry -> entry.getKey().contains(text))
        .map(Map.Entry::getValue)
        .reduce(new Tally(), Tally::plus);
  }
}
