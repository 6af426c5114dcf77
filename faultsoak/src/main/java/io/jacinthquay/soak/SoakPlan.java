package io.jacinthquay.soak;

import java.time.Duration;
import java.util.Set;

/**
 * What one run of the soak consists of.
 *
 * @param seed of everything that is drawn
 * @param load time under load and faults
 * @param routers number of router processes
 * @param controls number of control VM processes
 * @param upstreams number of stand-in upstreams
 * @param callers number of callers
 * @param faults kinds of fault that may come
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
   * Copies the set.
   *
   * @throws IllegalArgumentException if a number is below 1
   */
  SoakPlan {
    if (routers < 1 || controls < 1 || upstreams < 1 || callers < 1) {
      throw new IllegalArgumentException("each number must be 1 or more");
    }
    faults = Set.copyOf(faults);
  }

  /** Returns how many of a kind of target there are. */
  int targets(FaultKind kind) {
    return switch (kind.where()) {
      case ROUTER -> routers;
      case CONTROL, OPERATOR -> controls;
      case UPSTREAM -> upstreams;
      default -> 1;
    };
  }
}
