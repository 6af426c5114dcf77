package io.jacinthquay.decision.dispatch;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * Decides whether a router is isolated, so that it should report that it is not ready.
 *
 * <p>Handles a failure domain that is partitioned and taken out of use at the same time: its
 * routers may not send to any upstream that they reach, yet callers keep using them while they
 * report ready. A router that hears from control VMs stays ready whatever its upstreams do, since
 * routers elsewhere have no other upstreams. A router that reaches upstreams stays ready without
 * control VMs.
 */
public final class RouterIsolation {
  /**
   * Silence of the control VMs after which a router counts as partitioned, in nanoseconds. Longer
   * than a leader election and the exchange after it take with 500 routers.
   */
  private static final long CONTROL_SILENCE_NANOS = 2_500_000_000L;

  private volatile OptionalLong lastHeardNanos = OptionalLong.empty();

  /** Records that a message from a control VM arrived. */
  public void recordControlMessage(long now) {
    lastHeardNanos = OptionalLong.of(now);
  }

  /**
   * Returns whether the router is isolated and callers should use other routers.
   *
   * @param reachesUpstreams whether some upstream may be used and is not known to be unreachable;
   *     evaluated only while control VMs are silent
   * @param now monotonic time, in nanoseconds
   */
  public boolean isIsolated(BooleanSupplier reachesUpstreams, long now) {
    return isControlSilent(now) && !reachesUpstreams.getAsBoolean();
  }

  /**
   * Returns whether control VMs that were heard before are silent now.
   *
   * @param now monotonic time, in nanoseconds
   */
  public boolean isControlSilent(long now) {
    OptionalLong lastHeard = lastHeardNanos;
    return lastHeard.isPresent() && now - lastHeard.getAsLong() > CONTROL_SILENCE_NANOS;
  }
}
