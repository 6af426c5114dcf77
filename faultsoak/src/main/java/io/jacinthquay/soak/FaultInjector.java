package io.jacinthquay.soak;

import java.io.IOException;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Injects faults into the system and records the period in which each one was active. */
final class FaultInjector {
  /** Limits that upstreams state, in requests per second; far below what they get otherwise. */
  private static final double LOWEST_LIMIT = 0.4;

  private static final double LIMIT_STEP = 0.8;
  private static final int LIMITS = 3;

  private static final Logger log = LogManager.getLogger();

  /** Time for bytes that a link held back to arrive after the end of a fault. */
  static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Time from listing an upstream as draining to its end. Routers poll the list a few times a
   * second, so they see the change well before.
   */
  static final long DRAINING_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Time from the end of an upstream to the first listing of the one that replaces it. */
  private static final long RELEASE_GAP_MILLIS = 300;

  /** Shortest time for which all routers are down at once. */
  private static final long MIN_ROUTERS_DOWN_MILLIS = 1_000;

  /** Bound on the time by which they are down for longer. */
  private static final long ROUTERS_DOWN_RANGE_MILLIS = 1_600;

  /** Time for a new disk to replace the lost one. */
  private static final long REPLACEMENT_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(12);

  private static final long POLL_MILLIS = 200;

  /** How many times longer a router is suspended than other faults last. */
  private static final int SUSPENSION_FACTOR = 6;

  private final SoakSystem system;
  private final History history;

  /** Held while a lost disk is not replaced yet. */
  private final Semaphore diskLoss = new Semaphore(1);

  private final Releases releases = new Releases();
  private final AtomicInteger restartCount = new AtomicInteger();
  private final AtomicInteger replacements = new AtomicInteger();

  FaultInjector(SoakSystem system, History history) {
    this.system = system;
    this.history = history;
  }

  /** Injects one fault and returns after its end. */
  void inject(Fault fault) {
    long from = System.nanoTime();
    OptionalInt target = OptionalInt.of(fault.target());
    try {
      target = apply(fault);
    } catch (IOException e) {
      log.warn("fault {} could not be injected: {}", fault, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    long until = System.nanoTime() + SETTLE_NANOS;
    target.ifPresent(number -> history.add(new FaultPeriod(fault.kind(), number, from, until)));
  }

  /**
   * Injects a fault; returns the target that it affected, -1 for all, or empty if the fault would
   * be more than is tolerated.
   */
  private OptionalInt apply(Fault fault) throws IOException, InterruptedException {
    int target = fault.target();
    if (fault.kind().losesDisk()) {
      return loseDisk(fault);
    }
    if (fault.kind().affectsAll()) {
      applyToAll(fault);
      return OptionalInt.of(-1);
    }
    switch (fault.kind()) {
      case ROUTER_PAUSED -> pause(system.router(target), fault.durationMillis());
      case CONTROL_PAUSED -> pause(system.control(target), fault.durationMillis());
      case ROUTER_KILLED -> kill(system.router(target), fault);
      case CONTROL_KILLED -> kill(system.control(target), fault);
      case ROUTER_STOPPED -> stop(system.router(target));
      case CONTROL_STOPPED -> stop(system.control(target));
      case ROUTER_HUP -> system.router(target).signal("HUP");
      case CONTROL_DISK_FULL -> fillDisk(system.control(target), fault);
      case ROUTER_SUSPENDED ->
          pause(system.router(target), SUSPENSION_FACTOR * fault.durationMillis());
      case UPSTREAM_RELEASED -> {
        return release(target) ? OptionalInt.of(target) : OptionalInt.empty();
      }
      case UPSTREAM_SPOILS -> spoilAnswers(List.of(system.upstream(target)), fault);
      case UPSTREAM_LIMITED -> system.upstream(target).stateLimit(OptionalDouble.of(limit(target)));
      case UPSTREAM_LEAVES -> withdrawUpstream(target, fault);
      case PLATFORM_SILENT -> applyMode(system.platformLink(), LinkProxy.Mode.SILENT, fault);
      case ROUTER_PORT_HELD ->
          StartFaults.holdPort(
              system.router(target), system.routerPort(target, fault.durationMillis()), fault);
      case CONTROL_PORT_HELD ->
          StartFaults.holdPort(
              system.control(target), system.controlPort(target, fault.durationMillis()), fault);
      case ROUTER_START_SIGNALLED -> StartFaults.signalStart(system.router(target), fault);
      case CONTROL_START_SIGNALLED -> StartFaults.signalStart(system.control(target), fault);
      case ROUTER_HEADS ->
          HostileCallers.sendHeads(system.routerPort(target, fault.durationMillis()), fault);
      case CONTROL_HEADS ->
          HostileCallers.sendHeads(system.controlPort(target, fault.durationMillis()), fault);
      case ROUTER_PARTIAL_REQUESTS ->
          HostileCallers.sendPartialRequests(system.routerPort(target, 0), fault);
      case OBSERVER_STALLED, DISKS_FULL_IN_TURN ->
          throw new IllegalArgumentException(fault + " can't be injected");
      default -> applyToLink(fault);
    }
    return OptionalInt.of(target);
  }

  private void applyToAll(Fault fault) throws IOException, InterruptedException {
    switch (fault.kind()) {
      case CONTROLS_KILLED -> {
        for (int control = 0; control < system.operatorAddresses().size(); control++) {
          system.control(control).kill();
        }
        for (int control = 0; control < system.operatorAddresses().size(); control++) {
          system.control(control).start();
        }
      }
      case CONTROLS_PAUSED -> pauseControls(fault.durationMillis());
      case UPSTREAMS_SPOIL ->
          spoilAnswers(
              IntStream.range(0, system.upstreamCount()).mapToObj(system::upstream).toList(),
              fault);
      case ROUTERS_KILLED -> killRouters(OptionalInt.empty(), fault);
      case ROUTERS_AND_CONTROL_KILLED -> killRouters(OptionalInt.of(controlToKill(fault)), fault);
      default -> throw new IllegalArgumentException(fault + " affects one target");
    }
  }

  /** Returns the limit that an upstream states, in requests per second. */
  private static double limit(int upstream) {
    return LOWEST_LIMIT + LIMIT_STEP * (upstream % LIMITS);
  }

  private void applyToLink(Fault fault) throws InterruptedException {
    int target = fault.target();
    switch (fault.kind()) {
      case CONTROL_SILENT -> applyMode(system.internalLink(target), LinkProxy.Mode.SILENT, fault);
      case CONTROL_ONE_WAY -> applyMode(system.internalLink(target), LinkProxy.Mode.ONE_WAY, fault);
      case CONTROL_DELAYED -> applyMode(system.internalLink(target), LinkProxy.Mode.DELAYED, fault);
      case CONTROL_RESET -> {
        system.internalLink(target).reset();
        system.operatorLink(target).reset();
      }
      case OPERATORS_ONE_WAY ->
          applyMode(system.operatorLink(target), LinkProxy.Mode.ONE_WAY, fault);
      case CALLERS_DELAYED -> applyMode(system.routerLink(target), LinkProxy.Mode.DELAYED, fault);
      case CALLERS_RESET -> system.routerLink(target).reset();
      case UPSTREAM_SILENT -> applyMode(system.upstreamLink(target), LinkProxy.Mode.SILENT, fault);
      case UPSTREAM_ONE_WAY ->
          applyMode(system.upstreamLink(target), LinkProxy.Mode.ONE_WAY, fault);
      case UPSTREAM_DELAYED ->
          applyMode(system.upstreamLink(target), LinkProxy.Mode.DELAYED, fault);
      case UPSTREAM_RESET -> system.upstreamLink(target).reset();
      default -> throw new IllegalArgumentException("unknown fault " + fault);
    }
  }

  /**
   * Deletes the disk of a control VM or replaces the VM, and waits until the new disk has the place
   * of the lost one. Returns the number of the control VM, or empty if another lost disk is not
   * replaced yet.
   */
  private OptionalInt loseDisk(Fault fault) throws IOException, InterruptedException {
    if (!diskLoss.tryAcquire()) {
      return OptionalInt.empty();
    }
    try {
      if (!system.allControlsVote()) {
        return OptionalInt.empty();
      }
      int target = fault.target();
      if (fault.kind() == FaultKind.CONTROL_WIPED_DISK_FULL) {
        system.control(target).kill();
        system.deleteData(target);
        StartFaults.startWithFullDisk(system.control(target), fault);
      } else if (fault.kind() == FaultKind.CONTROL_WIPED) {
        system.control(target).kill();
        system.deleteData(target);
        awaitEnd(fault);
        system.control(target).start();
      } else {
        // One after the other, so that soon none is left of those that a suspended router knows.
        target = replacements.getAndIncrement() % system.operatorAddresses().size();
        StartFaults.end(system.control(target), fault);
        if (!system.replaceControl(target)) {
          log.warn("no address is left for a new control VM");
        }
      }
      long end = System.nanoTime() + REPLACEMENT_LIMIT_NANOS;
      while (!system.allControlsVote() && System.nanoTime() - end < 0) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
      return OptionalInt.of(target);
    } finally {
      diskLoss.release();
    }
  }

  private static void fillDisk(ProgramProcess process, Fault fault)
      throws IOException, InterruptedException {
    process.rejectWrites(true);
    try {
      awaitEnd(fault);
    } finally {
      process.rejectWrites(false);
    }
  }

  private static void awaitEnd(Fault fault) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
  }

  private static void pause(ProgramProcess process, long millis)
      throws IOException, InterruptedException {
    process.signal("STOP");
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } finally {
      process.signal("CONT");
    }
  }

  private void pauseControls(long millis) throws IOException, InterruptedException {
    int controls = system.operatorAddresses().size();
    for (int control = 0; control < controls; control++) {
      system.control(control).signal("STOP");
    }
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } finally {
      for (int control = 0; control < controls; control++) {
        system.control(control).signal("CONT");
      }
    }
  }

  private static void spoilAnswers(List<FakeUpstream> upstreams, Fault fault)
      throws InterruptedException {
    upstreams.forEach(FakeUpstream::startSpoiling);
    try {
      awaitEnd(fault);
    } finally {
      upstreams.forEach(FakeUpstream::stopSpoiling);
    }
  }

  /** Returns the control VM that ends with all routers; every second time it is the leader. */
  private int controlToKill(Fault fault) {
    int controls = system.operatorAddresses().size();
    int any = fault.target() % controls;
    return fault.durationMillis() % 2 == 0
        ? any
        : IntStream.range(0, controls).filter(system::leads).findFirst().orElse(any);
  }

  /** Kills all routers and perhaps a control VM at once, and starts them again. */
  private void killRouters(OptionalInt control, Fault fault)
      throws IOException, InterruptedException {
    long from = System.nanoTime();
    List<ProgramProcess> processes =
        Stream.concat(
                IntStream.range(0, system.callerAddresses().size()).mapToObj(system::router),
                control.stream().mapToObj(system::control))
            .toList();
    processes.parallelStream().forEach(ProgramProcess::kill);
    TimeUnit.MILLISECONDS.sleep(
        MIN_ROUTERS_DOWN_MILLIS + fault.durationMillis() % ROUTERS_DOWN_RANGE_MILLIS);
    for (ProgramProcess process : processes) {
      process.start();
    }
    long until = System.nanoTime() + SETTLE_NANOS;
    control.ifPresent(
        number -> history.add(new FaultPeriod(FaultKind.CONTROL_KILLED, number, from, until)));
  }

  /** Replaces an upstream by one of a newer version, unless its service is within a release. */
  private boolean release(int target) throws InterruptedException {
    String service = Documents.serviceOf(target);
    if (!releases.begin(service)) {
      return false;
    }
    try {
      system.listUpstream(target, true);
      TimeUnit.NANOSECONDS.sleep(DRAINING_NOTICE_NANOS);
      system.unlistUpstream(target);
      FakeUpstream upstream = system.upstream(target);
      upstream.restart(
          "i-" + target + "-" + restartCount.incrementAndGet(),
          releases.next(service, upstream.lifetime().release()));
      TimeUnit.MILLISECONDS.sleep(RELEASE_GAP_MILLIS);
      system.listUpstream(target, false);
    } finally {
      releases.end(service);
    }
    return true;
  }

  private static void kill(ProgramProcess process, Fault fault)
      throws IOException, InterruptedException {
    process.kill();
    awaitEnd(fault);
    process.start();
  }

  private static void stop(ProgramProcess process) throws IOException {
    if (!process.stop()) {
      log.warn("a process did not stop within its grace period and was killed");
    }
    process.start();
  }

  private static void applyMode(LinkProxy link, LinkProxy.Mode mode, Fault fault)
      throws InterruptedException {
    link.setMode(mode);
    try {
      awaitEnd(fault);
    } finally {
      link.setMode(LinkProxy.Mode.PASSES);
    }
  }

  private void withdrawUpstream(int target, Fault fault) throws InterruptedException {
    system.listUpstream(target, true);
    TimeUnit.NANOSECONDS.sleep(DRAINING_NOTICE_NANOS);
    system.unlistUpstream(target);
    system.upstream(target).restart("i-" + target + "-" + restartCount.incrementAndGet());
    awaitEnd(fault);
    system.listUpstream(target, false);
  }
}
