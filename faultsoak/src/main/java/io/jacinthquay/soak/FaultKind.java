package io.jacinthquay.soak;

/** What is done to the system from outside. */
enum FaultKind {
  /** SIGSTOP, and SIGCONT at the end. */
  ROUTER_PAUSED(Where.ROUTER),
  /** SIGKILL, and a new start at the end. */
  ROUTER_KILLED(Where.ROUTER),
  /** SIGTERM, and a new start once the process has ended. */
  ROUTER_STOPPED(Where.ROUTER),
  /** SIGHUP. */
  ROUTER_HUP(Where.ROUTER),
  CONTROL_PAUSED(Where.CONTROL),
  CONTROL_KILLED(Where.CONTROL),
  CONTROL_STOPPED(Where.CONTROL),
  /** SIGKILL, and a new start with an empty data folder. */
  CONTROL_WIPED(Where.CONTROL),
  /** Nothing passes between a control VM's inner port and others, connections stay open. */
  CONTROL_SILENT(Where.CONTROL),
  /** A control VM's inner port takes calls, but no answer comes back. */
  CONTROL_ONE_WAY(Where.CONTROL),
  /** Bytes between a control VM's inner port and others are kept back for a time. */
  CONTROL_DELAYED(Where.CONTROL),
  /** Connections of routers, other control VMs and operators to a control VM are reset. */
  CONTROL_RESET(Where.CONTROL),
  /** Operators get no answer from a control VM. */
  OPERATORS_ONE_WAY(Where.OPERATOR),
  /** Bytes between callers and a router are kept back for a time. */
  CALLERS_DELAYED(Where.ROUTER),
  /** Connections between callers and a router are reset. */
  CALLERS_RESET(Where.ROUTER),
  /** Nothing passes between routers and an upstream, connections stay open. */
  UPSTREAM_SILENT(Where.UPSTREAM),
  /** Nothing passes from an upstream to the routers; requests still arrive. */
  UPSTREAM_ONE_WAY(Where.UPSTREAM),
  /** Bytes between routers and an upstream are kept back for a time. */
  UPSTREAM_DELAYED(Where.UPSTREAM),
  /** Connections between routers and an upstream are reset. */
  UPSTREAM_RESET(Where.UPSTREAM),
  /** An upstream is told to leave, goes, and comes back under a new id. */
  UPSTREAM_LEAVES(Where.UPSTREAM),
  /** The platform's interface answers nothing. */
  PLATFORM_SILENT(Where.PLATFORM),
  /** The observing process itself stood still, so nothing of that time is judged. */
  OBSERVER_STALLED(Where.OBSERVER);

  /** What a fault is done to. */
  enum Where {
    ROUTER,
    CONTROL,
    UPSTREAM,
    PLATFORM,
    /** The operators' own link to a control VM. */
    OPERATOR,
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
