package io.jacinthquay.soak;

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

  private final Where where;

  FaultKind(Where where) {
    this.where = where;
  }

  Where where() {
    return where;
  }
}
