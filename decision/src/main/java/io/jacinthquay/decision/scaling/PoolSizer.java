package io.jacinthquay.decision.scaling;

import java.util.List;

/** Decides how many upstreams one pool should have. Not thread-safe. */
public interface PoolSizer {
  /**
   * Returns the orders that bring the pool to its target size.
   *
   * @param observation what is known of the pool now
   * @param now monotonic time in nanoseconds
   */
  List<FleetPlan> plan(FleetObservation observation, long now);

  /** Records that the platform has no capacity for an order now. */
  void refused(FleetPlan plan, long now);

  /** Records that it is not known whether the platform accepted an order. */
  void recordUnknownOutcome(FleetPlan plan);

  /** Returns the figures behind the last plan. */
  SizingStatus status();
}
