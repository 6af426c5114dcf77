package io.jacinthquay.soak;

import java.time.Duration;
import java.util.Set;

/**
 * The parameters of one run of the soak.
 *
 * @param seed seed of all random choices
 * @param load how long load and faults last
 * @param routers number of router processes
 * @param controls number of control VM processes
 * @param domains number of failure domains of the routers and control VMs
 * @param upstreams number of stand-in upstreams
 * @param callers number of concurrent callers
 * @param rejectedPercent share of requests that upstreams reject without running them, in percent
 * @param maxFault longest duration of a fault
 * @param faults kinds of fault to inject
 */
record SoakPlan(
    long seed,
    Duration load,
    int routers,
    int controls,
    int domains,
    int upstreams,
    int callers,
    int rejectedPercent,
    Duration maxFault,
    Set<FaultKind> faults) {
  static final int DEFAULT_REJECTED_PERCENT = 2;
  static final Duration DEFAULT_MAX_FAULT = Duration.ofSeconds(4);

  /**
   * Creates a plan.
   *
   * @throws IllegalArgumentException if a number is below 1
   */
  SoakPlan {
    if (routers < 1 || controls < 1 || domains < 1 || upstreams < 1 || callers < 1) {
      throw new IllegalArgumentException("each number must be 1 or more");
    }
    faults = Set.copyOf(faults);
  }

  /** Returns a plan with the default share of rejected requests and duration of faults. */
  static SoakPlan withDefaults(
      long seed,
      Duration load,
      int routers,
      int controls,
      int upstreams,
      int callers,
      Set<FaultKind> faults) {
    return new SoakPlan(
        seed,
        load,
        routers,
        controls,
        Deployment.DOMAINS,
        upstreams,
        callers,
        DEFAULT_REJECTED_PERCENT,
        DEFAULT_MAX_FAULT,
        faults);
  }

  /** Returns the number of targets into which a kind of fault can be injected. */
  int targets(FaultKind kind) {
    return switch (kind.where()) {
      case ROUTER -> routers;
      case CONTROL, OPERATOR -> controls;
      case UPSTREAM -> upstreams;
      default -> 1;
    };
  }
}
