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
 * @param upstreams number of stand-in upstreams
 * @param callers number of concurrent callers
 * @param faults kinds of fault to inject
 */
record SoakPlan(
    long seed,
    Duration load,
    int routers,
    int controls,
    int upstreams,
    int callers,
    Set<FaultKind> faults) {
  /**
   * Creates a plan.
   *
   * @throws IllegalArgumentException if a number is below 1
   */
  SoakPlan {
    if (routers < 1 || controls < 1 || upstreams < 1 || callers < 1) {
      throw new IllegalArgumentException("each number must be 1 or more");
    }
    faults = Set.copyOf(faults);
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
