package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.learning.RateEstimator;
import io.jacinthquay.decision.pace.PacedUpstream;
import io.jacinthquay.decision.pace.Peers;
import io.jacinthquay.decision.pace.SlowStart;
import io.jacinthquay.decision.pace.StartReason;
import io.jacinthquay.model.UpstreamId;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Applies slow start to the upstreams of a selector; without it, all upstreams count as proved. */
final class UpstreamPacing {
  private final Optional<RateEstimator> estimator;
  private Optional<SlowStart> slowStart = Optional.empty();

  /**
   * Returns a pacing without slow start.
   *
   * @param estimator what was observed of the upstreams; empty if nothing is
   */
  UpstreamPacing(Optional<RateEstimator> estimator) {
    this.estimator = estimator;
  }

  void enable(SlowStart newSlowStart) {
    slowStart = Optional.of(newSlowStart);
  }

  /**
   * Begins the slow start of an upstream that is listed for the first time. The upstreams of the
   * first list of a pool count as proved: this router may have started among many that know them,
   * or the whole pool is new.
   *
   * @param listedBefore the upstreams of the pool in the list before
   */
  void recordNew(UpstreamState state, Collection<UpstreamState> listedBefore, long now) {
    if (slowStart.isPresent()) {
      state.health().blockBriefly();
      if (!listedBefore.isEmpty()) {
        begin(state, StartReason.LISTED, now);
      }
    }
  }

  /** Begins the slow start of an upstream if its new entry shows that it was started again. */
  void recordListing(UpstreamState state, UpstreamListing newListing, long now) {
    if (slowStart.isPresent() && state.isRestartedIn(newListing, now)) {
      begin(state, StartReason.RESTARTED, now);
    }
  }

  /** Begins the slow start of an upstream if its circuit breaker has tripped. */
  void recordFailure(UpstreamState state, long now) {
    if (slowStart.isPresent() && state.health().isBlockedOrProbing()) {
      begin(state, StartReason.FAILED, now);
    }
  }

  private void begin(UpstreamState state, StartReason reason, long now) {
    UpstreamListing listing = state.listing();
    UpstreamEvidence seen = evidence(state, now);
    slowStart.ifPresent(s -> s.begin(listing.upstream(), listing.pool(), reason, seen, now));
  }

  void retain(Set<UpstreamId> listed, long now) {
    slowStart.ifPresent(s -> s.retain(listed, now));
  }

  private UpstreamEvidence evidence(UpstreamState state, long now) {
    return estimator.map(e -> e.evidence(id(state), now)).orElse(UpstreamEvidence.NONE);
  }

  /**
   * Updates the windows if that is due.
   *
   * @param usable the upstreams that may get requests; evaluated only if an update is due
   * @param routers number of routers that share the windows
   */
  void updateIfDue(Supplier<List<UpstreamState>> usable, int routers, long now) {
    if (slowStart.isPresent()) {
      boolean known = routers == 1 || estimator.map(e -> e.hasRemote(now)).orElse(false);
      slowStart.get().update(() -> paced(usable.get(), now), new Peers(routers, known), now);
    }
  }

  private List<PacedUpstream> paced(List<UpstreamState> usable, long now) {
    return usable.stream()
        .map(
            state ->
                new PacedUpstream(
                    id(state),
                    state.listing().pool(),
                    state.listing().slots(),
                    state.own().inFlight(),
                    state.load().inFlight(),
                    evidence(state, now)))
        .toList();
  }

  private static UpstreamId id(UpstreamState state) {
    return state.listing().upstream();
  }

  /** Makes a blocked upstream due for a probe if other routers get answers from it. */
  void allowProbe(UpstreamState state, long now) {
    if (state.health().isBlockedOrProbing()
        && slowStart.isPresent()
        && slowStart.get().isAnsweringWell(id(state))) {
      state.health().allowProbe(now);
    }
  }

  /** Returns whether this router may send one more request within the window of an upstream. */
  boolean allows(UpstreamState state) {
    return slowStart.isEmpty() || slowStart.get().allows(id(state), state.own().inFlight());
  }

  /** Returns whether an upstream has a window that it may exceed if no other has a free slot. */
  boolean allowsExcess(UpstreamState state) {
    return slowStart.isPresent() && slowStart.get().isAnsweringWell(id(state));
  }

  /** Returns whether the window of an upstream is in force; any request uses its few places. */
  boolean isLimited(UpstreamState state) {
    return slowStart.isPresent() && slowStart.get().isLimited(id(state));
  }
}
