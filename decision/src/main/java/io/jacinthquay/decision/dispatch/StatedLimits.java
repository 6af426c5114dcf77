package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/** The limits that upstreams state in their answers; see {@link StatedLimit}. */
public final class StatedLimits {
  private final Map<UpstreamId, StatedLimit> limits = new HashMap<>();
  private RouterTurn turn = RouterTurn.ALONE;

  /** Returns limits of which none is stated. */
  StatedLimits() {}

  /** Sets this router's place in the order in which routers send to upstreams with a limit. */
  public void setTurn(RouterTurn newTurn, long now) {
    turn = newTurn;
    limits.values().forEach(limit -> limit.setTurn(newTurn, now));
  }

  /**
   * Records what the answer to a request says of the rate that its upstream takes.
   *
   * @param perSecond requests per second over all routers, finite and 0 or more; empty if the
   *     answer states no limit
   * @return whether the limit has begun, changed or ended
   */
  public boolean record(SentRequest sending, OptionalDouble perSecond, long now) {
    UpstreamId upstream = sending.upstream().listing().upstream();
    OptionalDouble before = perSecond(upstream);
    if (perSecond.isPresent()) {
      limits
          .computeIfAbsent(upstream, id -> new StatedLimit(turn))
          .state(perSecond.getAsDouble(), now);
    } else {
      limits.computeIfPresent(
          upstream, (id, limit) -> limit.isEndedBy(sending.sentNanos()) ? null : limit);
    }
    return !perSecond(upstream).equals(before);
  }

  /** Returns the limit of an upstream in requests per second; empty if it states none. */
  public OptionalDouble perSecond(UpstreamId upstream) {
    StatedLimit limit = limits.get(upstream);
    return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit.perSecond());
  }

  /** Returns the number of upstreams that state a limit. */
  public int size() {
    return limits.size();
  }

  /** Returns whether this router may send a request to an upstream now. */
  boolean allows(UpstreamState state, long now) {
    StatedLimit limit = limits.get(state.listing().upstream());
    return limit == null || limit.allows(now);
  }

  /** Returns whether an upstream states a limit. */
  boolean isLimited(UpstreamState state) {
    return limits.containsKey(state.listing().upstream());
  }

  /** Records that a request is sent to an upstream. */
  void recordSend(UpstreamState state, long now) {
    StatedLimit limit = limits.get(state.listing().upstream());
    if (limit != null) {
      limit.take(now);
    }
  }

  /** Drops the limits of upstreams that are gone. */
  void retain(Set<UpstreamId> upstreams) {
    limits.keySet().retainAll(upstreams);
  }

  /**
   * Returns the requests per second that this router may send to upstreams that all state limits;
   * infinite if one of them doesn't or there is none.
   */
  public double ownPerSecond(Collection<UpstreamState> states) {
    if (states.isEmpty() || !states.stream().allMatch(this::isLimited)) {
      return Double.POSITIVE_INFINITY;
    }
    return states.stream()
        .mapToDouble(state -> limits.get(state.listing().upstream()).ownPerSecond())
        .sum();
  }
}
