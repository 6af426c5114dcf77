package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.routing.KeyHolder;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerHead;
import io.jacinthquay.router.port.RequestFacts;
import io.jacinthquay.router.port.RequestIntake;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Finds route and customer of each request and starts its run. */
public final class ForwardIntake implements RequestIntake {
  private static final Logger log = LogManager.getLogger();

  /** When a caller should come back to a router that is not ready yet, in seconds. */
  private static final double NOT_READY_SECONDS = 0.3;

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
    if (core.table().isEmpty()) {
      return Either.left(Failure.of(ResultCode.NOT_READY, "no document is in force yet"));
    }
    if (core.refusesNew()) {
      return Either.left(Failure.of(ResultCode.SHUTTING_DOWN));
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
    Optional<KeyHolder> known = holder;
    long arrived = System.nanoTime();
    return Either.right(
        (body, caller) ->
            new ForwardRun(
                    core,
                    new ForwardRequest(head, facts, route.get(), known, body, arrived),
                    caller)
                .start());
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
    send(core.protocol().refusal(failure, retryAfter), caller);
  }

  /** Sends a head without a body. */
  static void send(AnswerHead head, Caller caller) {
    caller.begin(head, OptionalLong.of(0));
    caller.end();
  }
}
