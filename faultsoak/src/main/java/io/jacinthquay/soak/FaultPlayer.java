package io.jacinthquay.soak;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Does faults to the system and writes down when they were in force. */
final class FaultPlayer {
  private static final Logger log = LogManager.getLogger();

  /** Bytes that were kept back arrive a moment after the end of a fault. */
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** From an upstream's notice to its end; routers hear of the list a few times a second. */
  private static final long NOTICE_MILLIS = 4_000;

  private final SoakSystem system;
  private final History history;
  private final AtomicInteger restarts = new AtomicInteger();

  FaultPlayer(SoakSystem system, History history) {
    this.system = system;
    this.history = history;
  }

  /** Plays one fault from its begin to its end. */
  void play(Fault fault) {
    long from = System.nanoTime();
    try {
      act(fault);
    } catch (IOException e) {
      log.warn("fault {} could not be played: {}", fault, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    history.add(new Span(fault.kind(), fault.target(), from, System.nanoTime() + SETTLE_NANOS));
  }

  private void act(Fault fault) throws IOException, InterruptedException {
    int target = fault.target();
    switch (fault.kind()) {
      case ROUTER_PAUSED -> pause(system.router(target), fault);
      case CONTROL_PAUSED -> pause(system.control(target), fault);
      case ROUTER_KILLED -> kill(system.router(target), fault);
      case CONTROL_KILLED -> kill(system.control(target), fault);
      case ROUTER_STOPPED -> stop(system.router(target));
      case CONTROL_STOPPED -> stop(system.control(target));
      case ROUTER_HUP -> system.router(target).signal("HUP");
      case CONTROL_WIPED -> {
        system.control(target).kill();
        system.wipe(target);
        rest(fault);
        system.control(target).start();
      }
      case CONTROL_SILENT -> disturb(system.innerLink(target), LinkProxy.Mode.SILENT, fault);
      case CONTROL_ONE_WAY -> disturb(system.innerLink(target), LinkProxy.Mode.ONE_WAY, fault);
      case CONTROL_DELAYED -> disturb(system.innerLink(target), LinkProxy.Mode.DELAYED, fault);
      case CONTROL_RESET -> {
        system.innerLink(target).reset();
        system.operatorLink(target).reset();
      }
      case OPERATORS_ONE_WAY -> disturb(system.operatorLink(target), LinkProxy.Mode.ONE_WAY, fault);
      case CALLERS_DELAYED -> disturb(system.routerLink(target), LinkProxy.Mode.DELAYED, fault);
      case CALLERS_RESET -> system.routerLink(target).reset();
      case UPSTREAM_SILENT -> disturb(system.upstreamLink(target), LinkProxy.Mode.SILENT, fault);
      case UPSTREAM_ONE_WAY -> disturb(system.upstreamLink(target), LinkProxy.Mode.ONE_WAY, fault);
      case UPSTREAM_DELAYED -> disturb(system.upstreamLink(target), LinkProxy.Mode.DELAYED, fault);
      case UPSTREAM_RESET -> system.upstreamLink(target).reset();
      case UPSTREAM_LEAVES -> leave(target, fault);
      case PLATFORM_SILENT -> disturb(system.platformLink(), LinkProxy.Mode.SILENT, fault);
      case OBSERVER_STALLED -> throw new IllegalArgumentException("nobody plays " + fault);
      default -> throw new IllegalArgumentException("unknown fault " + fault);
    }
  }

  private static void rest(Fault fault) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(fault.forMillis());
  }

  private static void pause(ProgramProcess process, Fault fault)
      throws IOException, InterruptedException {
    process.signal("STOP");
    try {
      rest(fault);
    } finally {
      process.signal("CONT");
    }
  }

  private static void kill(ProgramProcess process, Fault fault)
      throws IOException, InterruptedException {
    process.kill();
    rest(fault);
    process.start();
  }

  private static void stop(ProgramProcess process) throws IOException {
    if (!process.stop()) {
      log.warn("a process did not end within its grace period");
    }
    process.start();
  }

  private static void disturb(LinkProxy link, LinkProxy.Mode mode, Fault fault)
      throws InterruptedException {
    link.mode(mode);
    try {
      rest(fault);
    } finally {
      link.mode(LinkProxy.Mode.PASSES);
    }
  }

  private void leave(int target, Fault fault) throws InterruptedException {
    system.list(target, true);
    TimeUnit.MILLISECONDS.sleep(NOTICE_MILLIS);
    system.unlist(target);
    system.upstream(target).restart("i-" + target + "-" + restarts.incrementAndGet());
    rest(fault);
    system.list(target, false);
  }
}
