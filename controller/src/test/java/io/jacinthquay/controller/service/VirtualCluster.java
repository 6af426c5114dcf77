package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.ClosedWindow;
import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.Leases;
import io.jacinthquay.controller.port.OpenWindow;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.controller.port.OrderStore;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.controller.port.PlatformVm;
import io.jacinthquay.controller.port.Price;
import io.jacinthquay.controller.port.Ticker;
import io.jacinthquay.controller.port.UsageLine;
import io.jacinthquay.controller.port.UsageStore;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.testkit.platform.PlatformLedger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * Keepers and platform in virtual time, as one controller process sees them through a bad network.
 */
final class VirtualCluster implements Leases, UsageStore, OrderStore, Platform {
  /** Mistakes that the oracle must find. */
  enum Fault {
    NONE,
    /** A lease is granted anew before the old one has lapsed. */
    EARLY_GRANT,
    /** Late counts change a sealed window. */
    SEALED_WINDOW_CHANGES,
    /** A request leaves although its lease no longer lasts. */
    WRITE_AFTER_LEASE,
    /** Orders are sent without a record, and recorded with another body. */
    RESEND_DIFFERS
  }

  private static final double LOSS = 0.15;
  private static final int MAX_DELAY_MILLIS = 1_500;

  final PlatformLedger ledger = new PlatformLedger(false);
  private final Random random;
  private final Fault fault;
  private long nowNanos = 1;
  private boolean cut;
  private final Map<LeaseName, Grant> grants = new HashMap<>();
  private final Map<Long, Long> counted = new TreeMap<>();
  private final Map<Long, ClosedWindow> sealed = new TreeMap<>();
  private final Map<Long, Boolean> reported = new HashMap<>();
  private final Map<String, Order> orders = new LinkedHashMap<>();
  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos));

  private record Grant(Lease lease, String holder, long untilNanos) {}

  private record Delivery(long atNanos, Runnable effect) {}

  VirtualCluster(Random random, Fault fault) {
    this.random = random;
    this.fault = fault;
  }

  void advance(Duration span) {
    long target = nowNanos + span.toNanos();
    while (!inFlight.isEmpty() && inFlight.peek().atNanos() <= target) {
      inFlight.poll().effect().run();
    }
    nowNanos = target;
  }

  void cutOff(boolean value) {
    cut = value;
  }

  /** Returns a clock whose rate is off by a share. */
  Ticker ticker(double rateError) {
    return new Ticker() {
      @Override
      public long nanos() {
        return (long) (nowNanos * (1 + rateError));
      }

      @Override
      public long wallMillis() {
        return nowNanos / 1_000_000;
      }
    };
  }

  void count(long windowStart, long tokens) {
    long window = sealed.containsKey(windowStart) ? nextOpen(windowStart) : windowStart;
    counted.merge(window, tokens, Long::sum);
    if (fault == Fault.SEALED_WINDOW_CHANGES) {
      sealed.computeIfPresent(windowStart, (start, old) -> closed(start, total(old) + tokens));
    }
  }

  private long nextOpen(long start) {
    long next = start;
    while (sealed.containsKey(next)) {
      next += 1_000;
    }
    return next;
  }

  long totalCounted() {
    return counted.values().stream().mapToLong(Long::longValue).sum();
  }

  long totalReported() {
    return ledger.reports().values().stream().mapToLong(Long::parseLong).sum();
  }

  boolean hasOpenOrders() {
    return !orders.isEmpty();
  }

  private static ClosedWindow closed(long start, long tokens) {
    UsageLine line = new UsageLine(new CustomerId("c"), "m", 1, 0, tokens, start);
    return new ClosedWindow(0, start, List.of(line));
  }

  private static long total(ClosedWindow window) {
    return window.lines().get(0).outputTokens();
  }

  private <T> Either<Failure, T> answered(Either<Failure, T> answer) {
    return random.nextDouble() < LOSS ? lost() : answer;
  }

  private boolean unreachable() {
    return cut || random.nextDouble() < LOSS;
  }

  private static <T> Either<Failure, T> lost() {
    return Either.left(Failure.of(ResultCode.NO_QUORUM));
  }

  private static <T> Either<Failure, T> refused(ResultCode code) {
    return Either.left(Failure.of(code));
  }

  private boolean holds(Lease lease) {
    Grant grant = grants.get(lease.name());
    return grant != null && grant.lease().fencing().equals(lease.fencing());
  }

  @Override
  public Either<Failure, Lease> acquire(LeaseName name, String holder, Duration length) {
    if (unreachable()) {
      return lost();
    }
    Grant old = grants.get(name);
    boolean free = old == null || nowNanos > old.untilNanos() || fault == Fault.EARLY_GRANT;
    if (!free && !old.holder().equals(holder)) {
      return refused(ResultCode.LEASE_HELD);
    }
    FencingToken fencing = old == null ? new FencingToken(1) : old.lease().fencing().next();
    return answered(Either.right(grant(new Lease(name, fencing, length), holder)));
  }

  private Lease grant(Lease lease, String holder) {
    grants.put(lease.name(), new Grant(lease, holder, nowNanos + lease.length().toNanos()));
    return lease;
  }

  @Override
  public Either<Failure, Lease> renew(Lease lease, String holder, Duration length) {
    if (unreachable()) {
      return lost();
    }
    boolean current = holds(lease);
    return current
        ? answered(Either.right(grant(new Lease(lease.name(), lease.fencing(), length), holder)))
        : refused(ResultCode.LEASE_LOST);
  }

  @Override
  public Either<Failure, Void> release(Lease lease, String holder) {
    if (!unreachable() && holds(lease)) {
      grants.computeIfPresent(
          lease.name(), (name, grant) -> new Grant(grant.lease(), "", nowNanos));
    }
    return Either.right(null);
  }

  @Override
  public Either<Failure, List<OpenWindow>> openWindows() {
    List<OpenWindow> open = new ArrayList<>();
    counted.keySet().stream()
        .filter(start -> !sealed.containsKey(start))
        .forEach(start -> open.add(new OpenWindow(0, start)));
    return unreachable() ? lost() : Either.right(open);
  }

  @Override
  public Either<Failure, ClosedWindow> seal(int shard, long start, Lease lease) {
    if (unreachable() || !holds(lease)) {
      return refused(ResultCode.LEASE_LOST);
    }
    return answered(Either.right(sealed.computeIfAbsent(start, s -> closed(s, counted.get(s)))));
  }

  @Override
  public Either<Failure, List<ClosedWindow>> unreported(int shard, int limit) {
    List<ClosedWindow> left =
        sealed.values().stream()
            .filter(window -> !reported.containsKey(window.startMillis()))
            .limit(limit)
            .toList();
    return unreachable() ? lost() : Either.right(left);
  }

  @Override
  public Either<Failure, Void> markReported(ClosedWindow window, Lease lease) {
    if (!unreachable() && holds(lease)) {
      reported.put(window.startMillis(), true);
    }
    return Either.right(null);
  }

  @Override
  public Either<Failure, Void> record(Order order) {
    if (unreachable() || !holds(new Lease(order.lease(), order.fencing(), Duration.ZERO))) {
      return refused(ResultCode.LEASE_LOST);
    }
    boolean differs = fault == Fault.RESEND_DIFFERS;
    String json = differs ? order.json() + " " : order.json();
    Order stored = new Order(order.id(), order.lease(), order.fencing(), order.domain(), json);
    orders.putIfAbsent(order.id(), stored);
    return answered(Either.right(null));
  }

  @Override
  public Either<Failure, Void> complete(Order order, Lease lease) {
    if (!unreachable() && holds(lease)) {
      orders.remove(order.id());
    }
    return Either.right(null);
  }

  @Override
  public Either<Failure, List<Order>> open(DomainId domain) {
    return unreachable() ? lost() : Either.right(List.copyOf(orders.values()));
  }

  @Override
  public Either<Failure, String> order(
      Order order, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    Runnable effect =
        () -> ledger.order(order.lease().value(), fencing.value(), order.id(), order.json());
    return deliver(effect, timeout, mayWrite) ? Either.right("{}") : brokenOff();
  }

  @Override
  public Either<Failure, Void> report(
      ClosedWindow window, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    String lines = Long.toString(total(window));
    Runnable effect = () -> ledger.report(0, window.startMillis(), fencing.value(), lines);
    return deliver(effect, timeout, mayWrite) ? Either.right(null) : brokenOff();
  }

  private static <T> Either<Failure, T> brokenOff() {
    return Either.left(Failure.of(ResultCode.UPSTREAM_BROKE));
  }

  /** Lets a request arrive now, or within its timeout with its answer lost, or never. */
  private boolean deliver(Runnable effect, Duration timeout, BooleanSupplier mayWrite) {
    boolean late = fault == Fault.WRITE_AFTER_LEASE;
    if (!mayWrite.getAsBoolean() || random.nextDouble() < LOSS) {
      return false;
    }
    if (random.nextDouble() < LOSS) {
      long limit = late ? Duration.ofMinutes(1).toNanos() : timeout.toNanos();
      long delay = (long) (random.nextDouble() * limit);
      inFlight.add(new Delivery(nowNanos + delay, effect));
      return false;
    }
    advance(Duration.ofMillis(random.nextInt(MAX_DELAY_MILLIS)));
    effect.run();
    return true;
  }

  @Override
  public Either<Failure, List<PlatformVm>> vms() {
    return Either.right(List.of());
  }

  @Override
  public Either<Failure, List<Price>> prices() {
    return Either.right(List.of());
  }
}
