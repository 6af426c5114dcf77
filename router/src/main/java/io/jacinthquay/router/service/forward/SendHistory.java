package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.RouteRule;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The sends of one request, and whether and where it may be sent once more. */
final class SendHistory {
  /** Number of sends without execution after which the request fails. */
  private static final int MAX_UNEXECUTED = 4;

  /** The same where a request may return to the queue between two sends. */
  private static final int MAX_UNEXECUTED_QUEUED = 6;

  /** Sends without execution from which a request returns to the queue before the next one. */
  private static final int QUEUED_FROM = 2;

  private final ForwardCore core;
  private final RouteRule route;
  private final Set<UpstreamId> triedUpstreams = new HashSet<>();
  private int sends;
  private int unexecuted;
  private boolean ended;

  SendHistory(ForwardCore core, RouteRule route) {
    this.core = core;
    this.route = route;
  }

  /** Returns the best upstream that has capacity now and that the request was not sent to yet. */
  Optional<UpstreamState> choose(PoolRequest work, long now) {
    return ended ? Optional.empty() : core.selector().choose(work, triedUpstreams, now);
  }

  /** Lets the request go to no upstream any more. */
  void end() {
    ended = true;
  }

  /** Lets the request go to any upstream again if no send may have run. */
  void forgetUnlessRun() {
    if (sends == 0) {
      triedUpstreams.clear();
    }
  }

  void recordSend(UpstreamId upstream) {
    sends++;
    triedUpstreams.add(upstream);
  }

  /** Records that the last send did not run. */
  void recordNotRun() {
    sends--;
    unexecuted++;
  }

  /** Returns whether the request may go to no upstream any more. */
  boolean hasEnded() {
    return ended;
  }

  /** Returns whether a send may have run. */
  boolean hasSends() {
    return sends > 0;
  }

  /** Returns whether the request was sent more than once, or did not run where it was sent. */
  boolean isRepeated() {
    return sends + unexecuted > 1;
  }

  /** Returns whether a request that may have run may be retried now; if so, takes a retry. */
  boolean tryAcquireRetry(PoolRequest work, long now) {
    return route.isRetryable()
        && sends < route.maxAttempts()
        && now - work.deadlineNanos() < 0
        && choose(work, now).isPresent()
        && core.retryBudgets().tryAcquire(work.pool(), now);
  }

  /** Returns whether a request that did not run may be sent again; if so, takes a retry. */
  boolean tryAcquireAnother(PoolRequest work, long now) {
    return unexecuted < (core.sharesQueue() ? MAX_UNEXECUTED_QUEUED : MAX_UNEXECUTED)
        && now - work.deadlineNanos() < 0
        && (core.sharesQueue() || choose(work, now).isPresent())
        && core.retryBudgets().tryAcquire(work.pool(), now);
  }

  /** Returns whether a request that did not run may be sent again without a pause in the queue. */
  boolean mayGoAtOnce() {
    return !core.sharesQueue() || unexecuted < QUEUED_FROM;
  }

  /** Returns whether a request may be sent again that did not reach its upstream. */
  boolean mayReachAnother() {
    return unexecuted < MAX_UNEXECUTED;
  }
}
