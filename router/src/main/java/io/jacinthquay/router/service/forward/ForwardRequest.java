package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.routing.KeyHolder;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.router.port.AttemptMetadata;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestMetadata;
import io.jacinthquay.router.port.UpstreamRequest;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * An admitted request.
 *
 * @param head the head as the caller sent it
 * @param facts what the protocol reads from the head
 * @param route its route
 * @param holder the holder of its key; absent on open routes
 * @param body the whole body
 * @param arrivedNanos when its head was read, on the monotonic clock
 */
@SuppressWarnings("ArrayRecordComponent")
record ForwardRequest(
    RequestHead head,
    RequestMetadata facts,
    RouteRule route,
    Optional<KeyHolder> holder,
    byte[] body,
    long arrivedNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  Optional<CustomerId> customer() {
    return holder.map(KeyHolder::customer);
  }

  Tier tier() {
    return holder.flatMap(KeyHolder::tier).orElse(route.tier());
  }

  /** Returns the time limit of the request, in milliseconds from its arrival. */
  long limitMillis() {
    return Math.min(route.timeoutMillis(), facts.waitMillis().orElse(Long.MAX_VALUE));
  }

  /** Returns the deadline of the request, on the monotonic clock. */
  long deadlineNanos() {
    return arrivedNanos + limitMillis() * NANOS_PER_MILLI;
  }

  /** Returns the request to a pool, any version of which may serve it. */
  PoolRequest work(PoolName pool) {
    return new PoolRequest(
        pool,
        tier(),
        facts.promptTokens(),
        facts.outputTokens(),
        facts.promptParts(),
        route.targetMillis(),
        route.gapTargetMillis(),
        arrivedNanos,
        deadlineNanos(),
        Optional.empty());
  }

  /**
   * Returns the request to an upstream.
   *
   * @param sending the send that placement has chosen
   * @param resumeAfter id of the last event that the caller has
   * @param now on the monotonic clock, in nanoseconds
   */
  UpstreamRequest toUpstream(
      ForwardProtocol protocol, SentRequest sending, OptionalLong resumeAfter, long now) {
    UpstreamListing upstream = sending.upstream().listing();
    PoolRequest work = sending.work();
    AttemptMetadata attempt =
        new AttemptMetadata(
            upstream.upstream(),
            customer(),
            Math.max(1, (work.deadlineNanos() - now) / NANOS_PER_MILLI),
            route.promptInHeaders() ? OptionalInt.of(work.urgency()) : OptionalInt.empty(),
            sending.source().map(UpstreamListing::address),
            resumeAfter);
    return new UpstreamRequest(
        new RequestId(facts.attemptId()),
        upstream.address(),
        head.method(),
        head.query().isEmpty() ? head.rawPath() : head.rawPath() + "?" + head.query(),
        protocol.toUpstream(head, attempt),
        body,
        route.isRetryable(),
        true);
  }
}
