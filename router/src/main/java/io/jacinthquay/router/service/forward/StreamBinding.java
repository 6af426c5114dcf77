package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.routing.RequestKind;
import io.jacinthquay.model.routing.WeightedPool;
import io.jacinthquay.router.port.StreamOrigins.Knowledge;
import io.jacinthquay.router.port.StreamOrigins.Origin;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Binds one stream to the version of the software that began it.
 *
 * <p>What two versions write doesn't fit together, and upstreams don't check whether they began a
 * stream that they go on with. Handles upstreams that fail while several versions serve: the stream
 * goes on at its own version, within one answer and over the attempts of its caller, or not at all.
 */
final class StreamBinding {
  private final ForwardCore core;
  private final ForwardRequest request;
  private final PoolName drawnPool;
  private final RequestTrace trace;
  private final SendHistory history;
  private boolean bound;
  private Optional<ForwardAttempt> begunBy = Optional.empty();

  /**
   * Returns a binding to no version.
   *
   * @param drawnPool the pool that was drawn for the request among those of its route
   */
  StreamBinding(
      ForwardCore core,
      ForwardRequest request,
      PoolName drawnPool,
      RequestTrace trace,
      SendHistory history) {
    this.core = core;
    this.request = request;
    this.drawnPool = drawnPool;
    this.trace = trace;
    this.history = history;
  }

  /** Returns whether the caller takes up a stream of an earlier attempt. */
  boolean isTakeUp() {
    return request.route().kind() == RequestKind.STREAMING
        && request.facts().lastEventId().isPresent();
  }

  /**
   * Finds the pool and the version that began the stream; calls one of the two consumers, possibly
   * before this method returns.
   *
   * @param found receives the work, to be served by that version only
   * @param refused receives the reason why the stream can't go on here
   */
  void findOrigin(Consumer<PoolRequest> found, Consumer<Failure> refused) {
    List<PoolName> pools = pools();
    Optional<StreamId> stream = request.facts().resumedAttempt().map(this::streamId);
    if (stream.isEmpty() && pools.size() > 1) {
      refuse(Knowledge.UNKNOWN, refused);
      return;
    }
    core.streamOrigins()
        .find(request.customer(), stream, pools, origin -> conclude(origin, found, refused));
  }

  /** Returns the pools that may have begun the stream, the drawn one first. */
  private List<PoolName> pools() {
    return Stream.concat(
            Stream.of(drawnPool),
            request.route().split().stream()
                .filter(weighted -> weighted.weight() > 0)
                .map(WeightedPool::pool))
        .distinct()
        .toList();
  }

  private void conclude(Origin origin, Consumer<PoolRequest> found, Consumer<Failure> refused) {
    if (origin.knowledge() != Knowledge.KNOWN) {
      refuse(origin.knowledge(), refused);
      return;
    }
    PoolName pool = origin.pool().orElseThrow();
    SoftwareVersion version = origin.version().orElseThrow();
    core.metrics().countTakeUp(Knowledge.KNOWN);
    trace.note("origin", version);
    bound = true;
    found.accept(request.work(pool).boundTo(version));
  }

  private void refuse(Knowledge knowledge, Consumer<Failure> refused) {
    core.metrics().countTakeUp(knowledge);
    trace.note("origin", knowledge);
    refused.accept(
        knowledge == Knowledge.NO_ANSWER
            ? Failure.of(
                ResultCode.STREAM_ORIGIN_UNKNOWN, "no control VM told which version began it")
            : Failure.of(ResultCode.STREAM_ORIGIN_UNKNOWN));
  }

  private StreamId streamId(String attempt) {
    return StreamId.of(request.customer(), attempt);
  }

  /**
   * Binds the work of a stream to the version that brings its first event, unless it is bound, and
   * records that version for take-ups by the caller. If the upstream turns out to have been started
   * again with another version, nobody can tell which of the two brought the events: both are
   * recorded, so that neither counts, and the stream doesn't go on elsewhere.
   *
   * @param from the send whose events are about to be written to the caller
   */
  PoolRequest bind(PoolRequest work, ForwardAttempt from) {
    SoftwareVersion sentTo = from.listing().version();
    SoftwareVersion listed = from.upstream().listing().version();
    PoolRequest boundWork = work;
    if (!bound) {
      bound = true;
      begunBy = Optional.of(from);
      recordBegun(work.pool(), sentTo);
      boundWork = work.boundTo(sentTo);
    }
    if (!listed.equals(sentTo) && isBegunBy(from) && !history.hasEnded()) {
      recordBegun(work.pool(), listed);
      history.end();
    }
    return boundWork;
  }

  /**
   * Returns whether a send that goes on with a stream must end, as its upstream turns out to have
   * been started again with another version. If events of that version have reached the caller, the
   * stream doesn't go on elsewhere.
   */
  boolean mustEnd(PoolRequest work, ForwardAttempt from) {
    if (work.accepts(from.upstream().listing()) || isBegunBy(from)) {
      return false;
    }
    if (from.hasBegun()) {
      history.end();
    }
    return true;
  }

  private boolean isBegunBy(ForwardAttempt from) {
    return begunBy.equals(Optional.of(from));
  }

  private void recordBegun(PoolName pool, SoftwareVersion version) {
    trace.note("begunBy", version);
    core.streamOrigins().record(streamId(request.facts().attemptId()), pool, version);
  }

  /** Returns why the request is rejected when no upstream is left that may serve it. */
  Failure unserved() {
    return Failure.of(bound ? ResultCode.STREAM_VERSION_GONE : ResultCode.NO_UPSTREAM);
  }

  /** Returns the id after which the next send has to go on; empty if the caller has no event. */
  OptionalLong resumeAfter(AnswerSink sink, boolean begun) {
    return begun && sink instanceof EventStreamAnswer events
        ? events.lastId()
        : request.facts().lastEventId();
  }
}
