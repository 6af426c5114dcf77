package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.LeaseStore;
import io.jacinthquay.controller.port.OpenWindow;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.controller.port.OrderStore;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.controller.port.PlatformVm;
import io.jacinthquay.controller.port.Price;
import io.jacinthquay.controller.port.SealedUsageWindow;
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
 * Simulates keepers and platform in virtual time, behind a network that loses and delays messages.
 */
final class VirtualCluster implements LeaseStore, UsageStore, OrderStore, Platform {
  /** Planted faults that the checks of the platform ledger must detect. */
  enum Fault {
    NONE,
    /** A lease is granted again before the previous grant has expired. */
    EARLY_GRANT,
    /** Late counts change a sealed window. */
    SEALED_WINDOW_CHANGES,
    /** A request arrives after the lease under which it was sent has expired. */
    WRITE_AFTER_LEASE,
    /** An order is recorded with another body than it was sent with, so a retry differs. */
    RESEND_DIFFERS
  }

  private static final double LOSS_RATIO = 0.15;
  private static final int MAX_DELAY_MILLIS = 1_500;

  final PlatformLedger ledger = new PlatformLedger(false);
  private final Random random;
  private final Fault fault;
  private long nowNanos = 1;
  private boolean partitioned;
  private final Map<LeaseName, Grant> grants = new HashMap<>();
  private final Map<Long, Long> tokensByWindow = new TreeMap<>();
  private final Map<Long, SealedUsageWindow> sealed = new TreeMap<>();
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

  void setPartitioned(boolean value) {
    partitioned = value;
  }

  /**
   * Returns the clocks of one process.
   *
   * @param rateError the relative error of the monotonic clock's rate
   */
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

  void addUsage(long windowStart, long tokens) {
    long window = sealed.containsKey(windowStart) ? nextUnsealed(windowStart) : windowStart;
    tokensByWindow.merge(window, tokens, Long::sum);
    if (fault == Fault.SEALED_WINDOW_CHANGES) {
      sealed.computeIfPresent(
          windowStart, (start, old) -> sealedWindow(start, outputTokens(old) + tokens));
    }
  }

  private long nextUnsealed(long start) {
    long next = start;
    while (sealed.containsKey(next)) {
      next += 1_000;
    }
    return next;
  }

  long totalCounted() {
    return tokensByWindow.values().stream().mapToLong(Long::longValue).sum();
  }

  long totalReported() {
    return ledger.reports().values().stream().mapToLong(Long::parseLong).sum();
  }

  boolean hasPendingOrders() {
    return !orders.isEmpty();
  }

  private static SealedUsageWindow sealedWindow(long start, long tokens) {
    UsageLine line = new UsageLine(new CustomerId("c"), "m", 1, 0, tokens, start);
    return new SealedUsageWindow(0, start, List.of(line));
  }

  private static long outputTokens(SealedUsageWindow window) {
    return window.lines().get(0).outputTokens();
  }

  private <T> Either<Failure, T> unlessLost(Either<Failure, T> result) {
    return random.nextDouble() < LOSS_RATIO ? noQuorum() : result;
  }

  private boolean unreachable() {
    return partitioned || random.nextDouble() < LOSS_RATIO;
  }

  private static <T> Either<Failure, T> noQuorum() {
    return Either.left(Failure.of(ResultCode.NO_QUORUM));
  }

  private static <T> Either<Failure, T> rejected(ResultCode code) {
    return Either.left(Failure.of(code));
  }

  private boolean holds(Lease lease) {
    Grant grant = grants.get(lease.name());
    return grant != null && grant.lease().fencing().equals(lease.fencing());
  }

  @Override
  public Either<Failure, Lease> acquire(LeaseName name, String holder, Duration length) {
    if (unreachable()) {
      return noQuorum();
    }
    Grant old = grants.get(name);
    boolean free = old == null || nowNanos > old.untilNanos() || fault == Fault.EARLY_GRANT;
    if (!free && !old.holder().equals(holder)) {
      return rejected(ResultCode.LEASE_HELD);
    }
    FencingToken fencing = old == null ? new FencingToken(1) : old.lease().fencing().next();
    return unlessLost(Either.right(grant(new Lease(name, fencing, length), holder)));
  }

  private Lease grant(Lease lease, String holder) {
    grants.put(lease.name(), new Grant(lease, holder, nowNanos + lease.length().toNanos()));
    return lease;
  }

  @Override
  public Either<Failure, Lease> renew(Lease lease, String holder, Duration length) {
    if (unreachable()) {
      return noQuorum();
    }
    boolean current = holds(lease);
    return current
        ? unlessLost(Either.right(grant(new Lease(lease.name(), lease.fencing(), length), holder)))
        : rejected(ResultCode.LEASE_LOST);
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
    tokensByWindow.keySet().stream()
        .filter(start -> !sealed.containsKey(start))
        .forEach(start -> open.add(new OpenWindow(0, start)));
    return unreachable() ? noQuorum() : Either.right(open);
  }

  @Override
  public Either<Failure, SealedUsageWindow> seal(int shard, long start, Lease lease) {
    if (unreachable() || !holds(lease)) {
      return rejected(ResultCode.LEASE_LOST);
    }
    return unlessLost(
        Either.right(sealed.computeIfAbsent(start, s -> sealedWindow(s, tokensByWindow.get(s)))));
  }

  @Override
  public Either<Failure, List<SealedUsageWindow>> unreported(int shard, int limit) {
    List<SealedUsageWindow> windows =
        sealed.values().stream()
            .filter(window -> !reported.containsKey(window.startMillis()))
            .limit(limit)
            .toList();
    return unreachable() ? noQuorum() : Either.right(windows);
  }

  @Override
  public Either<Failure, Void> markReported(SealedUsageWindow window, Lease lease) {
    if (!unreachable() && holds(lease)) {
      reported.put(window.startMillis(), true);
    }
    return Either.right(null);
  }

  @Override
  public Either<Failure, Void> record(Order order) {
    if (unreachable() || !holds(new Lease(order.lease(), order.fencing(), Duration.ZERO))) {
      return rejected(ResultCode.LEASE_LOST);
    }
    boolean differs = fault == Fault.RESEND_DIFFERS;
    String json = differs ? order.json() + " " : order.json();
    Order stored = new Order(order.id(), order.lease(), order.fencing(), order.domain(), json);
    orders.putIfAbsent(order.id(), stored);
    return unlessLost(Either.right(null));
  }

  @Override
  public Either<Failure, Void> complete(Order order, Lease lease) {
    if (!unreachable() && holds(lease)) {
      orders.remove(order.id());
    }
    return Either.right(null);
  }

  @Override
  public Either<Failure, List<Order>> pendingOrders(DomainId domain) {
    return unreachable() ? noQuorum() : Either.right(List.copyOf(orders.values()));
  }

  @Override
  public Either<Failure, String> sendOrder(
      Order order, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    Runnable effect =
        () -> ledger.recordOrder(order.lease().value(), fencing.value(), order.id(), order.json());
    return deliver(effect, timeout, mayWrite) ? Either.right("{}") : brokenConnection();
  }

  @Override
  public Either<Failure, Void> sendReport(
      SealedUsageWindow window, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    String lines = Long.toString(outputTokens(window));
    Runnable effect = () -> ledger.recordReport(0, window.startMillis(), fencing.value(), lines);
    return deliver(effect, timeout, mayWrite) ? Either.right(null) : brokenConnection();
  }

  private static <T> Either<Failure, T> brokenConnection() {
    return Either.left(Failure.of(ResultCode.UPSTREAM_BROKE));
  }

  /** Delivers a request now, or within its timeout with the response lost, or never. */
  private boolean deliver(Runnable effect, Duration timeout, BooleanSupplier mayWrite) {
    boolean afterTimeout = fault == Fault.WRITE_AFTER_LEASE;
    if (!mayWrite.getAsBoolean() || random.nextDouble() < LOSS_RATIO) {
      return false;
    }
    if (random.nextDouble() < LOSS_RATIO) {
      long limit = afterTimeout ? Duration.ofMinutes(1).toNanos() : timeout.toNanos();
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
