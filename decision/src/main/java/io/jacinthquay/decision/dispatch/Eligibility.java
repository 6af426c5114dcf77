package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Which listed upstreams may get new requests, and which may go on with a stream. */
final class Eligibility {
  /**
   * Time in nanoseconds for which an upstream that was seen to begin to leave may go on with a
   * stream that no other one may go on with. Upstreams serve some seconds longer than that.
   */
  private static final long LEAVING_NANOS = 1_000_000_000L;

  private Set<DomainId> closedDomains = Set.of();

  /** Sets the failure domains that get no new requests. */
  void setClosedDomains(Set<DomainId> domains) {
    closedDomains = Set.copyOf(domains);
  }

  boolean isClosed(DomainId domain) {
    return closedDomains.contains(domain);
  }

  /** Returns whether an upstream may get any request. */
  boolean isUsable(UpstreamState state) {
    return !state.listing().draining() && !isClosed(state.listing().domain());
  }

  /**
   * Returns the upstreams that may get a request. One that is bound to a version whose upstreams
   * all leave, as in a release, may go to those that have just begun to. One that was leaving when
   * it was first listed gets none, as the time since it began is unknown and requests must end a
   * bounded time after that.
   */
  List<UpstreamState> serving(List<UpstreamState> upstreams, PoolRequest work, long now) {
    List<UpstreamState> usable = new ArrayList<>(upstreams.size());
    for (UpstreamState state : upstreams) {
      if (isUsable(state) && work.accepts(state.listing())) {
        usable.add(state);
      }
    }
    return usable.isEmpty() && work.version().isPresent() ? leaving(upstreams, work, now) : usable;
  }

  private List<UpstreamState> leaving(List<UpstreamState> upstreams, PoolRequest work, long now) {
    return upstreams.stream()
        .filter(s -> s.leavingNanos(now) < LEAVING_NANOS && work.accepts(s.listing()))
        .filter(s -> !isClosed(s.listing().domain()))
        .toList();
  }
}
