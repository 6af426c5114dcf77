package io.jacinthquay.decision.dispatch;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * Decides whether a router is of use to callers by what it is still in contact with.
 *
 * <p>Answers the load of a failure domain that is cut off and taken out at once: its routers may
 * send to no upstream that they reach, yet callers keep coming to them while they tell that they
 * are ready. A router that hears control VMs stays ready whatever its upstreams do, since routers
 * elsewhere know no others; one that reaches upstreams stays ready without control VMs.
 */
public final class Contact {
  /**
   * Silence of the control VMs after which a router may be cut off, in nanoseconds: more than the
   * election of a leader and the exchange after it take at 500 routers.
   */
  private static final long SILENCE_NANOS = 2_500_000_000L;

  private volatile OptionalLong toldNanos = OptionalLong.empty();

  /** A control VM told something. */
  public void told(long now) {
    toldNanos = OptionalLong.of(now);
  }

  /**
   * Returns whether callers are better off at other routers.
   *
   * @param reachesUpstreams whether some upstream may be used and, as far as is known, be reached;
   *     asked only where control VMs are silent
   * @param now monotonic, in nanoseconds
   */
  public boolean isLost(BooleanSupplier reachesUpstreams, long now) {
    OptionalLong told = toldNanos;
    return told.isPresent()
        && now - told.getAsLong() > SILENCE_NANOS
        && !reachesUpstreams.getAsBoolean();
  }
}
