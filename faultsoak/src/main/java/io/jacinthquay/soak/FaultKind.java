package io.jacinthquay.soak;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;

/** The kinds of fault that are injected into the system from outside. */
enum FaultKind {
  /** SIGSTOP to a router, and SIGCONT at the end. */
  ROUTER_PAUSED(Where.ROUTER),
  /** SIGSTOP to a router for long enough to replace several control VMs, and SIGCONT at the end. */
  ROUTER_SUSPENDED(Where.ROUTER),
  /** SIGKILL to a router, and a restart at the end. */
  ROUTER_KILLED(Where.ROUTER),
  /** SIGTERM to a router, and a restart once the process has exited. */
  ROUTER_STOPPED(Where.ROUTER),
  /** SIGHUP to a router. */
  ROUTER_HUP(Where.ROUTER),
  /** SIGSTOP to a control VM, and SIGCONT at the end. */
  CONTROL_PAUSED(Where.CONTROL),
  /** SIGKILL to a control VM, and a restart at the end. */
  CONTROL_KILLED(Where.CONTROL),
  /** SIGTERM to a control VM, and a restart once the process has exited. */
  CONTROL_STOPPED(Where.CONTROL),
  /** SIGKILL to a control VM, and a restart with an empty data folder at the end. */
  CONTROL_WIPED(Where.CONTROL),
  /** A control VM ends for good; one at another address with an empty data folder replaces it. */
  CONTROL_REPLACED(Where.CONTROL),
  /** A control VM's writes fail, as on a full disk, and succeed again at the end. */
  CONTROL_DISK_FULL(Where.CONTROL),
  /** SIGKILL to all control VMs at the same moment, and a restart of all. */
  CONTROLS_KILLED(Where.CONTROL),
  /** Nothing passes between a control VM's internal port and others; connections stay open. */
  CONTROL_SILENT(Where.CONTROL),
  /** A control VM's internal port receives calls, but no response comes back. */
  CONTROL_ONE_WAY(Where.CONTROL),
  /** Bytes between a control VM's internal port and others are delayed. */
  CONTROL_DELAYED(Where.CONTROL),
  /** Connections of routers, other control VMs and operators to a control VM are reset. */
  CONTROL_RESET(Where.CONTROL),
  /** Operators get no response from a control VM. */
  OPERATORS_ONE_WAY(Where.OPERATOR),
  /** Bytes between callers and a router are delayed. */
  CALLERS_DELAYED(Where.ROUTER),
  /** Connections between callers and a router are reset. */
  CALLERS_RESET(Where.ROUTER),
  /** Nothing passes between routers and an upstream; connections stay open. */
  UPSTREAM_SILENT(Where.UPSTREAM),
  /** Nothing passes from an upstream to the routers; requests still arrive. */
  UPSTREAM_ONE_WAY(Where.UPSTREAM),
  /** Bytes between routers and an upstream are delayed. */
  UPSTREAM_DELAYED(Where.UPSTREAM),
  /** Connections between routers and an upstream are reset. */
  UPSTREAM_RESET(Where.UPSTREAM),
  /** An upstream is listed as draining, is unlisted, restarts and is listed under a new id. */
  UPSTREAM_LEAVES(Where.UPSTREAM),
  /** The platform's API does not respond; connections stay open. */
  PLATFORM_SILENT(Where.PLATFORM),
  /** A router ends, and another socket holds one of its ports over its restart. */
  ROUTER_PORT_HELD(Where.ROUTER, Choice.NAMED),
  /** A control VM ends, and another socket holds one of its ports over its restart. */
  CONTROL_PORT_HELD(Where.CONTROL, Choice.NAMED),
  /** SIGHUP in series and SIGTERM to a router that starts. */
  ROUTER_START_SIGNALLED(Where.ROUTER, Choice.NAMED),
  /** SIGHUP in series and SIGTERM to a control VM that starts. */
  CONTROL_START_SIGNALLED(Where.CONTROL, Choice.NAMED),
  /** A control VM starts with an empty data folder while its writes fail. */
  CONTROL_WIPED_DISK_FULL(Where.CONTROL, Choice.NAMED),
  /** Many connections to a port of a router carry a large part of a head without its end. */
  ROUTER_HEADS(Where.ROUTER, Choice.NAMED),
  /** Many connections to a port of a control VM carry a large part of a head without its end. */
  CONTROL_HEADS(Where.CONTROL, Choice.NAMED),
  /** Many connections to a router carry three requests and a part of a fourth, and end. */
  ROUTER_PARTIAL_REQUESTS(Where.ROUTER, Choice.NAMED),
  /** An upstream answers most requests with something that is no answer. */
  UPSTREAM_SPOILS(Where.UPSTREAM, Choice.NAMED),
  /**
   * An upstream states in its answers that it takes few requests a second from all routers, until
   * the end of the run.
   */
  UPSTREAM_LIMITED(Where.UPSTREAM, Choice.NAMED),
  /** SIGSTOP to all control VMs, and SIGCONT at the end, so that nobody leads meanwhile. */
  CONTROLS_PAUSED(Where.CONTROL, Choice.NAMED),
  /** All upstreams answer most requests with something that is no answer, at the same time. */
  UPSTREAMS_SPOIL(Where.UPSTREAM, Choice.NAMED),
  /**
   * An upstream is listed as draining, is unlisted, and one with a newer version replaces it. Pools
   * have two versions from the start of such a run on.
   */
  UPSTREAM_RELEASED(Where.UPSTREAM, Choice.NAMED),
  /** SIGKILL to all routers at the same moment, and a restart of all a little later. */
  ROUTERS_KILLED(Where.ROUTER, Choice.NAMED),
  /** SIGKILL to all routers and one control VM at the same moment, and a restart of all. */
  ROUTERS_AND_CONTROL_KILLED(Where.ROUTER, Choice.NAMED),
  /** The writes of one control VM after another fail while documents change, after all faults. */
  DISKS_FULL_IN_TURN(Where.CONTROL, Choice.NAMED),
  /** The soak process itself was paused, so violations of that time are not judged. */
  OBSERVER_STALLED(Where.OBSERVER);

  /** What a fault affects. */
  enum Where {
    ROUTER,
    CONTROL,
    UPSTREAM,
    PLATFORM,
    /** The operators' link to a control VM. */
    OPERATOR,
    /** The soak process itself. */
    OBSERVER
  }

  /** Which runs have a kind of fault. */
  private enum Choice {
    /** Those with all kinds, and those that name it. */
    ALL,
    /** Only those that name it. */
    NAMED
  }

  private final Where where;
  private final Choice choice;

  FaultKind(Where where) {
    this(where, Choice.ALL);
  }

  FaultKind(Where where, Choice choice) {
    this.where = where;
    this.choice = choice;
  }

  /** Returns the kinds of a run that names none. */
  static Set<FaultKind> all() {
    return Arrays.stream(values())
        .filter(kind -> kind.choice == Choice.ALL)
        .collect(Collectors.toCollection(() -> EnumSet.noneOf(FaultKind.class)));
  }

  /**
   * Returns whether a machine may be out of touch because of a fault; callers may do what they
   * like.
   */
  boolean isDisturbance() {
    return switch (this) {
      case ROUTER_HUP, ROUTER_HEADS, CONTROL_HEADS, ROUTER_PARTIAL_REQUESTS -> false;
      default -> true;
    };
  }

  /** Returns whether a fault affects all that it can, whatever its target. */
  boolean affectsAll() {
    return switch (this) {
      case CONTROLS_KILLED,
          CONTROLS_PAUSED,
          ROUTERS_KILLED,
          ROUTERS_AND_CONTROL_KILLED,
          UPSTREAMS_SPOIL ->
          true;
      default -> false;
    };
  }

  boolean endsAllRouters() {
    return this == ROUTERS_KILLED || this == ROUTERS_AND_CONTROL_KILLED;
  }

  /** Returns whether an upstream ends as the platform's list has told before. */
  boolean isWithdrawal() {
    return this == UPSTREAM_LEAVES || this == UPSTREAM_RELEASED;
  }

  /** Returns whether an upstream's connections end or fall silent. */
  boolean interruptsUpstream() {
    return switch (this) {
      case UPSTREAM_RESET, UPSTREAM_LEAVES, UPSTREAM_RELEASED, UPSTREAM_SILENT, UPSTREAM_ONE_WAY ->
          true;
      default -> false;
    };
  }

  /** Returns whether a fault is injected at a time of the schedule. */
  boolean isScheduled() {
    return this != OBSERVER_STALLED && this != DISKS_FULL_IN_TURN;
  }

  /** Returns whether a control VM loses its disk. */
  boolean losesDisk() {
    return isWipe() || this == CONTROL_REPLACED;
  }

  boolean isWipe() {
    return this == CONTROL_WIPED || this == CONTROL_WIPED_DISK_FULL;
  }

  Where where() {
    return where;
  }
}
