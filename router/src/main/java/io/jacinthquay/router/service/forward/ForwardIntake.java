package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.routing.KeyHolder;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.RequestMetadata;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Looks up the route and the customer of each request and starts forwarding it. */
public final class ForwardIntake implements RequestIntake {
  private static final Logger log = LogManager.getLogger();

  /**
   * Retry delay sent to callers of a router that is not ready yet, in seconds; control VMs that
   * lost their leader elect a new one within this time.
   */
  private static final double NOT_READY_RETRY_SECONDS = 0.8;

  private static final RequestId UNNAMED = new RequestId("unnamed");

  private final ForwardCore core;

  /** Returns an intake that forwards requests by the state of the given core. */
  public ForwardIntake(ForwardCore core) {
    this.core = core;
  }

  @Override
  public RequestId nextId() {
    return UNNAMED;
  }

  @Override
  public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
    if (core.refusesNew()) {
      return Either.left(Failure.of(ResultCode.SHUTTING_DOWN));
    }
    long arrivedNanos = System.nanoTime();
    if (!core.isInitialized() && core.startupQueue().accepts(arrivedNanos)) {
      return Either.right(
          (body, caller) ->
              queue(id, new StartupQueue.QueuedRequest(head, body, caller, arrivedNanos)));
    }
    return resolve(head).map(resolved -> new ForwardableHead(id, head, resolved, arrivedNanos));
  }

  /** A request that the document in force allows. */
  private final class ForwardableHead implements AdmittedHead {
    private final RequestId id;
    private final RequestHead head;
    private final ResolvedRequest resolved;
    private final long arrivedNanos;

    ForwardableHead(RequestId id, RequestHead head, ResolvedRequest resolved, long arrivedNanos) {
      this.id = id;
      this.head = head;
      this.resolved = resolved;
      this.arrivedNanos = arrivedNanos;
    }

    @Override
    public int maxBodyBytes() {
      return resolved.maxBodyBytes();
    }

    @Override
    public void run(byte[] body, Caller caller) {
      start(id, resolved.with(head, body, arrivedNanos), caller);
    }
  }

  /** Queues a request that is fully read, or forwards it if the router is initialized by now. */
  private void queue(RequestId id, StartupQueue.QueuedRequest queued) {
    if (core.refusesNew()) {
      refuse(id, queued.head(), Failure.of(ResultCode.SHUTTING_DOWN), queued.caller());
      return;
    }
    if (core.isInitialized()) {
      forward(id, queued);
      return;
    }
    core.startupQueue()
        .add(
            queued,
            core.protocol().requestMetadata(queued.head()).waitMillis(),
            released -> forward(id, released),
            expired -> refuse(id, expired.head(), expired(), expired.caller()));
  }

  private void forward(RequestId id, StartupQueue.QueuedRequest queued) {
    resolve(queued.head())
        .flatMap(resolved -> resolved.checkSize(queued.body()))
        .map(resolved -> resolved.with(queued.head(), queued.body(), queued.arrivedNanos()))
        .peek(request -> start(id, request, queued.caller()))
        .peekLeft(failure -> refuse(id, queued.head(), failure, queued.caller()));
  }

  /** Forwards a request that is fully read, unless the router began to stop in the meantime. */
  private void start(RequestId id, ForwardRequest request, Caller caller) {
    if (core.refusesNew()) {
      refuse(id, request.head(), Failure.of(ResultCode.SHUTTING_DOWN), caller);
      return;
    }
    new ForwardExchange(core, request, caller).start();
  }

  private Failure expired() {
    return core.refusesNew() ? Failure.of(ResultCode.SHUTTING_DOWN) : notReady();
  }

  private static Failure notReady() {
    return Failure.of(
        ResultCode.NOT_READY, "no routing document is in force yet, or no upstream is known");
  }

  /** The route and the key holder of a request by the document in force. */
  private record ResolvedRequest(
      RequestMetadata facts, RouteRule route, Optional<KeyHolder> holder, int maxBodyBytes) {
    Either<Failure, ResolvedRequest> checkSize(byte[] body) {
      return body.length > maxBodyBytes
          ? Either.left(Failure.of(ResultCode.BODY_TOO_LARGE))
          : Either.right(this);
    }

    ForwardRequest with(RequestHead head, byte[] body, long arrivedNanos) {
      return new ForwardRequest(head, facts, route, holder, body, arrivedNanos);
    }
  }

  private Either<Failure, ResolvedRequest> resolve(RequestHead head) {
    if (core.table().isEmpty()) {
      return Either.left(notReady());
    }
    RouteTable table = core.table().get();
    RequestMetadata facts = core.protocol().requestMetadata(head);
    if (facts.attemptId().isEmpty()) {
      return Either.left(Failure.of(ResultCode.BAD_REQUEST, "the request has no attempt id"));
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
    return Either.right(new ResolvedRequest(facts, route.get(), holder, table.maxBodyBytes()));
  }

  @Override
  public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
    log.info(
        "request {} refused {} {} path={} version={}",
        core.protocol().requestMetadata(head).attemptId(),
        failure.code().number(),
        failure.detail(),
        head.rawPath(),
        core.version());
    OptionalDouble retryAfter =
        switch (failure.code()) {
          case NOT_READY -> OptionalDouble.of(NOT_READY_RETRY_SECONDS);
          case SHUTTING_DOWN -> OptionalDouble.of(0);
          default -> OptionalDouble.empty();
        };
    caller.sendResponse(core.protocol().refusal(failure, retryAfter), new byte[0]);
  }
}
