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

/** Upstreams never get more than they bear, whatever happens to routers and messages. */
class BearingProperties {
  private static final int WARM = 8;
  private static final int FRESH = 4;
  private static final int SLOTS = 8;
  private static final long SECOND = 1_000 * DomainBus.MS;

  /** What may happen to a failure domain. */
  enum Event {
    /** One router is cut off from the others for a while. */
    CUT,
    /** Routers disagree on who is live for a while. */
    DISAGREE,
    /** The owner goes: all routers choose another one. */
    OWNER_CHANGE,
    /** A router is lost without warning. */
    CRASH,
    /** Messages are lost and repeated for a while. */
    NOISE
  }

  @Property(tries = 40, seed = "4711")
  void neverExceedsWhatUpstreamsBear(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    runWithEvents(seed);
  }

  /** Seeds that once led to a breach. */
  @ParameterizedTest
  @ValueSource(longs = {20, 122, 164, 172, 177, 185, 249, 283, 356})
  void neverExceedsWhatUpstreamsBearAgain(long seed) {
    runWithEvents(seed);
  }

  /** New owners let more than an engine states begin until its next load report. */
  @Property(tries = 20, seed = "4711")
  void neverExceedsLimitsThatOnlyReportsState(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    DomainBus bus = new DomainBus(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    runWithEvents(seed, loaded(bus.statingEngines(WARM + FRESH, SLOTS, SLOTS)));
  }

  /** An owner that came back counted slots as free that had moved to another router meanwhile. */
  @ParameterizedTest
  @CsvSource({"4, 100", "20, 300", "10, 600", "7, 900"})
  void neverExceedsWhatUpstreamsBearWhenAnOwnerComesBack(long seed, long awayMillis) {
    DomainBus bus = new DomainBus(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    loaded(bus.engines(WARM + FRESH, SLOTS, SLOTS));
    bus.runUntil(4 * SECOND);
    VmId owner = owner(bus);
    VmId second = voters().stream().filter(vm -> !vm.equals(owner)).toList().get(1);
    List<VmId> two = List.of(owner, second);
    two.forEach(vm -> bus.view(vm, voters(), List.of(second)));
    bus.at(awayMillis * DomainBus.MS, now -> two.forEach(vm -> bus.view(vm, voters(), two)));
    bus.runUntil(8 * SECOND);
    assertEquals(0, bus.breaches());
  }

  private static void runWithEvents(long seed) {
    runWithEvents(seed, bus(seed));
  }

  /** Runs one to five random events at random times. */
  private static void runWithEvents(long seed, DomainBus bus) {
    Random random = new Random(seed * 7919);
    int count = 1 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      Event event = Event.values()[random.nextInt(Event.values().length)];
      long at = (1_000 + random.nextInt(14_000)) * DomainBus.MS;
      bus.at(at, now -> happen(bus, event));
    }
    bus.runUntil(20 * SECOND);
    assertEquals(0, bus.breaches());
    bus.runUntil(60 * SECOND);
    assertEquals(Set.of(), bus.unanswered());
  }

  @Property(tries = 5, seed = "4711")
  void keepsWarmUpstreamsBusyThroughOwnerChangesAndCut(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    DomainBus bus = bus(seed);
    bus.at(6 * SECOND, now -> happen(bus, Event.OWNER_CHANGE));
    bus.at(10 * SECOND, now -> happen(bus, Event.CUT));
    bus.at(14 * SECOND, now -> happen(bus, Event.OWNER_CHANGE));
    bus.runUntil(2 * SECOND);
    double before = busyWarm(bus);
    bus.runUntil(20 * SECOND);
    double utilisation = (busyWarm(bus) - before) / (18.0 * SECOND * WARM * SLOTS);
    assertEquals(0, bus.breaches());
    assertTrue(utilisation >= 0.9, "utilisation " + utilisation);
  }

  private static DomainBus bus(long seed) {
    DomainBus bus = new DomainBus(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    return loaded(bus.engines(WARM, SLOTS, SLOTS).engines(FRESH, 1, SLOTS));
  }

  private static DomainBus loaded(DomainBus bus) {
    bus.start();
    Workload workload = new Workload(bus);
    double capacity = (WARM + FRESH) * SLOTS / Workload.meanServiceSeconds();
    for (int tier = 0; tier < 5; tier++) {
      workload.stream(tier, "c" + tier, (tier == 4 ? 0.1 : 0.4) * capacity, 20 * SECOND);
    }
    return bus;
  }

  private static VmId owner(DomainBus bus) {
    Admission any = bus.routers.values().iterator().next();
    return any.status(bus.nowNanos).get(DomainBus.SCOPE).owner().orElseThrow();
  }

  private static double busyWarm(DomainBus bus) {
    double busy = 0;
    for (int i = 0; i < WARM; i++) {
      FakeEngine engine = new ArrayList<>(bus.engines.values()).get(i);
      busy += engine.busySlotNanos(bus.nowNanos);
    }
    return busy;
  }

  private static void happen(DomainBus bus, Event event) {
    List<VmId> all = new ArrayList<>(bus.routers.keySet());
    VmId one = all.get(bus.random.nextInt(all.size()));
    List<VmId> others = all.stream().filter(vm -> !vm.equals(one)).toList();
    List<VmId> voters = voters();
    switch (event) {
      case CUT -> {
        bus.side.put(one, 1);
        bus.at(
            SECOND,
            now -> {
              bus.view(one, voters, List.of(one));
              others.forEach(vm -> bus.view(vm, voters, others));
            });
        heal(bus, 3 * SECOND, one);
      }
      case DISAGREE -> {
        bus.view(one, voters, List.of(one));
        heal(bus, 2 * SECOND, one);
      }
      case OWNER_CHANGE -> {
        bus.viewAll(voters, others.isEmpty() ? all : others);
        heal(bus, 2 * SECOND, one);
      }
      case CRASH -> {
        if (all.size() > 1) {
          bus.crash(one);
          bus.at(SECOND, now -> bus.viewAll(voters, others));
        }
      }
      case NOISE -> {
        bus.loss = 0.02;
        bus.repetition = 0.1;
        heal(bus, 3 * SECOND, one);
      }
      default -> throw new AssertionError(event);
    }
  }

  private static List<VmId> voters() {
    return List.of(new VmId("entry-0"), new VmId("entry-1"), new VmId("entry-2"));
  }

  private static void heal(DomainBus bus, long delayNanos, VmId one) {
    bus.at(
        delayNanos,
        now -> {
          bus.side.put(one, 0);
          bus.loss = 0;
          bus.repetition = 0;
          bus.viewAll(voters(), new ArrayList<>(bus.routers.keySet()));
        });
  }
}
