package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.routing.KeyHolder;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerHead;
import io.jacinthquay.router.port.RequestFacts;
import io.jacinthquay.router.port.RequestIntake;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Finds route and customer of each request and starts its run. */
public final class ForwardIntake implements RequestIntake {
  private static final Logger log = LogManager.getLogger();

  /**
   * When a caller should come back to a router that is not ready yet, in seconds: control VMs that
   * lost their leader have another one after that.
   */
  private static final double NOT_READY_SECONDS = 0.8;

  private static final RequestId UNNAMED = new RequestId("unnamed");

  private final ForwardCore core;

  /** Returns an intake. */
  public ForwardIntake(ForwardCore core) {
    this.core = core;
  }

  @Override
  public RequestId nextId() {
    return UNNAMED;
  }

  @Override
  public Either<Failure, AdmittedHead> admit(RequestId id, CallerHead head) {
    if (core.refusesNew()) {
      return Either.left(Failure.of(ResultCode.SHUTTING_DOWN));
    }
    long arrived = System.nanoTime();
    if (!core.isInformed() && core.startHold().isOpen(arrived)) {
      return Either.right(
          (body, caller) -> hold(id, new StartHold.Held(head, body, caller, arrived)));
    }
    return routed(head)
        .map(
            routed ->
                (body, caller) ->
                    new ForwardRun(core, routed.with(head, body, arrived), caller).start());
  }

  /** Holds a request whose body is there, unless all that it needs was learned meanwhile. */
  private void hold(RequestId id, StartHold.Held held) {
    if (core.isInformed()) {
      goOn(id, held);
      return;
    }
    core.startHold()
        .add(
            held,
            core.protocol().request(held.head()).waitMillis(),
            released -> goOn(id, released),
            late -> refuse(id, late.head(), notReady(), late.caller()));
  }

  private void goOn(RequestId id, StartHold.Held held) {
    routed(held.head())
        .map(routed -> routed.with(held.head(), held.body(), held.arrivedNanos()))
        .peek(request -> new ForwardRun(core, request, held.caller()).start())
        .peekLeft(failure -> refuse(id, held.head(), failure, held.caller()));
  }

  private static Failure notReady() {
    return Failure.of(ResultCode.NOT_READY, "no document is in force yet, or no upstream is known");
  }

  /** What the document in force says of a request. */
  private record Routed(RequestFacts facts, RouteRule route, Optional<KeyHolder> holder) {
    ForwardRequest with(CallerHead head, byte[] body, long arrivedNanos) {
      return new ForwardRequest(head, facts, route, holder, body, arrivedNanos);
    }
  }

  private Either<Failure, Routed> routed(CallerHead head) {
    if (core.table().isEmpty()) {
      return Either.left(notReady());
    }
    RouteTable table = core.table().get();
    RequestFacts facts = core.protocol().request(head);
    if (facts.attemptId().isEmpty()) {
      return Either.left(Failure.of(ResultCode.BAD_REQUEST, "the request names no attempt"));
    }
    Optional<RouteRule> route = table.route(facts.host(), head.rawPath());
    if (route.isEmpty()) {
      return Either.left(Failure.of(ResultCode.ROUTE_UNKNOWN));
    }
    Optional<KeyHolder> holder = Optional.empty();
    if (table.needsKey(route.get())) {
      if (facts.key().isEmpty()) {
        return Either.left(Failure.of(ResultCode.KEY_MISSING));
      }
      holder = table.holder(KeyDigest.ofKey(facts.key().get()));
      if (holder.isEmpty()) {
        return Either.left(Failure.of(ResultCode.KEY_UNKNOWN));
      }
    }
    return Either.right(new Routed(facts, route.get(), holder));
  }

  @Override
  public void refuse(RequestId id, CallerHead head, Failure failure, Caller caller) {
    log.info(
        "request {} refused {} {} path={} version={}",
        core.protocol().request(head).attemptId(),
        failure.code().number(),
        failure.detail(),
        head.rawPath(),
        core.version());
    OptionalDouble retryAfter =
        switch (failure.code()) {
          case NOT_READY -> OptionalDouble.of(NOT_READY_SECONDS);
          case SHUTTING_DOWN -> OptionalDouble.of(0);
          default -> OptionalDouble.empty();
        };
    caller.answer(core.protocol().refusal(failure, retryAfter), new byte[0]);
  }
}
