package io.jacinthquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.slots.DecisionListener;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams never exceed their concurrency limits under failures of routers and messages. */
class ConcurrencyLimitProperties {
  private static final int WARM = 8;
  private static final int FRESH = 4;
  private static final int SLOTS = 8;
  private static final long SECOND = 1_000 * DomainSimulation.MS;

  /** Events that disturb a failure domain. */
  enum Event {
    /** One router is partitioned from the others for a while. */
    CUT,
    /** Routers disagree for a while on which routers are live. */
    DISAGREE,
    /** A router counts as not live for all routers, which may change the owner. */
    OWNER_CHANGE,
    /** A router stops without notice. */
    CRASH,
    /** Messages are lost and duplicated for a while. */
    NOISE
  }

  @Property(tries = 40, seed = "4711")
  void neverExceedsUpstreamLimits(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    runWithEvents(seed);
  }

  /** Guards against limit breaches that these seeds once caused. */
  @ParameterizedTest
  @ValueSource(longs = {20, 122, 164, 172, 177, 185, 249, 283, 356})
  void neverExceedsUpstreamLimitsForSeedsThatOnceFailed(long seed) {
    runWithEvents(seed);
  }

  /**
   * Guards against a new owner that dispatches more requests than an engine reports as its limit,
   * until the next load report arrives.
   */
  @Property(tries = 20, seed = "4711")
  void neverExceedsLimitsKnownOnlyFromLoadReports(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    DomainSimulation domain =
        new DomainSimulation(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    runWithEvents(seed, startWithLoad(domain.enginesReportingLimit(WARM + FRESH, SLOTS, SLOTS)));
  }

  /**
   * Guards against an owner that comes back and counts slots as free although another router got
   * them in the meantime.
   */
  @ParameterizedTest
  @CsvSource({"4, 100", "20, 300", "10, 600", "7, 900"})
  void neverExceedsUpstreamLimitsWhenAnOwnerComesBack(long seed, long awayMillis) {
    DomainSimulation domain =
        new DomainSimulation(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    startWithLoad(domain.engines(WARM + FRESH, SLOTS, SLOTS));
    domain.runUntil(4 * SECOND);
    VmId owner = owner(domain);
    VmId second = voters().stream().filter(vm -> !vm.equals(owner)).toList().get(1);
    List<VmId> ownerAndSecond = List.of(owner, second);
    ownerAndSecond.forEach(vm -> domain.setView(vm, voters(), List.of(second)));
    domain.at(
        awayMillis * DomainSimulation.MS,
        now -> ownerAndSecond.forEach(vm -> domain.setView(vm, voters(), ownerAndSecond)));
    domain.runUntil(8 * SECOND);
    assertEquals(0, domain.breaches());
  }

  private static void runWithEvents(long seed) {
    runWithEvents(seed, domain(seed));
  }

  /** Runs one to five random events at random times. */
  private static void runWithEvents(long seed, DomainSimulation domain) {
    Random random = new Random(seed * 7919);
    int count = 1 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      Event event = Event.values()[random.nextInt(Event.values().length)];
      long atNanos = (1_000 + random.nextInt(14_000)) * DomainSimulation.MS;
      domain.at(atNanos, now -> apply(domain, event));
    }
    domain.runUntil(20 * SECOND);
    assertEquals(0, domain.breaches());
    domain.runUntil(60 * SECOND);
    assertEquals(Set.of(), domain.unanswered());
  }

  @Property(tries = 5, seed = "4711")
  void keepsWarmUpstreamsBusyThroughOwnerChangesAndPartition(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    DomainSimulation domain = domain(seed);
    domain.at(6 * SECOND, now -> apply(domain, Event.OWNER_CHANGE));
    domain.at(10 * SECOND, now -> apply(domain, Event.CUT));
    domain.at(14 * SECOND, now -> apply(domain, Event.OWNER_CHANGE));
    domain.runUntil(2 * SECOND);
    double before = busyWarmSlotNanos(domain);
    domain.runUntil(20 * SECOND);
    double utilisation = (busyWarmSlotNanos(domain) - before) / (18.0 * SECOND * WARM * SLOTS);
    assertEquals(0, domain.breaches());
    assertTrue(utilisation >= 0.9, "utilisation " + utilisation);
  }

  private static DomainSimulation domain(long seed) {
    DomainSimulation domain =
        new DomainSimulation(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    return startWithLoad(domain.engines(WARM, SLOTS, SLOTS).engines(FRESH, 1, SLOTS));
  }

  private static DomainSimulation startWithLoad(DomainSimulation domain) {
    domain.start();
    Workload workload = new Workload(domain);
    double capacity = (WARM + FRESH) * SLOTS / Workload.meanServiceSeconds();
    for (int tier = 0; tier < 5; tier++) {
      workload.stream(tier, "c" + tier, (tier == 4 ? 0.1 : 0.4) * capacity, 20 * SECOND);
    }
    return domain;
  }

  private static VmId owner(DomainSimulation domain) {
    Admission admission = domain.routers.values().iterator().next();
    return admission.status(domain.nowNanos).get(DomainSimulation.SCOPE).owner().orElseThrow();
  }

  private static double busyWarmSlotNanos(DomainSimulation domain) {
    double busy = 0;
    for (int i = 0; i < WARM; i++) {
      FakeEngine engine = new ArrayList<>(domain.engines.values()).get(i);
      busy += engine.busySlotNanos(domain.nowNanos);
    }
    return busy;
  }

  private static void apply(DomainSimulation domain, Event event) {
    List<VmId> all = new ArrayList<>(domain.routers.keySet());
    VmId router = all.get(domain.random.nextInt(all.size()));
    List<VmId> others = all.stream().filter(vm -> !vm.equals(router)).toList();
    List<VmId> voters = voters();
    switch (event) {
      case CUT -> {
        domain.partition.put(router, 1);
        domain.at(
            SECOND,
            now -> {
              domain.setView(router, voters, List.of(router));
              others.forEach(vm -> domain.setView(vm, voters, others));
            });
        restore(domain, 3 * SECOND, router);
      }
      case DISAGREE -> {
        domain.setView(router, voters, List.of(router));
        restore(domain, 2 * SECOND, router);
      }
      case OWNER_CHANGE -> {
        domain.setViews(voters, others.isEmpty() ? all : others);
        restore(domain, 2 * SECOND, router);
      }
      case CRASH -> {
        if (all.size() > 1) {
          domain.crash(router);
          domain.at(SECOND, now -> domain.setViews(voters, others));
        }
      }
      case NOISE -> {
        domain.loss = 0.02;
        domain.duplication = 0.1;
        restore(domain, 3 * SECOND, router);
      }
      default -> throw new AssertionError(event);
    }
  }

  private static List<VmId> voters() {
    return List.of(new VmId("entry-0"), new VmId("entry-1"), new VmId("entry-2"));
  }

  private static void restore(DomainSimulation domain, long delayNanos, VmId router) {
    domain.at(
        delayNanos,
        now -> {
          domain.partition.put(router, 0);
          domain.loss = 0;
          domain.duplication = 0;
          domain.setViews(voters(), new ArrayList<>(domain.routers.keySet()));
        });
  }
}
