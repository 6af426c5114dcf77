package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.CustomerPolicy;
import io.jacinthquay.model.policy.ModelPolicy;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerHead;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.KeyAuthority;
import io.jacinthquay.router.port.RequestIntake.AdmittedHead;
import io.jacinthquay.router.service.config.PolicyHolder;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks bodies and starts requests. */
final class WorkStarter {
  private final PolicyHolder policies;
  private final KeyAuthority keys;
  private final RunServices services;

  WorkStarter(PolicyHolder policies, KeyAuthority keys, RunServices services) {
    this.policies = policies;
    this.keys = keys;
    this.services = services;
  }

  /**
   * Returns what runs once the body is there.
   *
   * @param customer the owner of the key; absent on open routes
   */
  AdmittedHead prepare(
      RequestContext context,
      Target target,
      Credentials credentials,
      Optional<CustomerPolicy> customer) {
    return (body, caller) -> {
      Either<Failure, Void> started = start(context, target, credentials, customer, body, caller);
      if (started.isLeft()) {
        refuse(context.id(), context.head(), started.getLeft(), caller);
      }
    };
  }

  private Either<Failure, Void> start(
      RequestContext context,
      Target target,
      Credentials credentials,
      Optional<CustomerPolicy> customer,
      byte[] body,
      Caller caller) {
    if (target instanceof Target.ModelList) {
      ModelListPage.send(caller, context.id(), policies.view().models());
      return Either.right(null);
    }
    Either<Failure, Work> work = work(context, target, credentials, body);
    if (work.isLeft()) {
      return Either.left(work.getLeft());
    }
    Optional<Failure> keyFailure = recheckKey(context);
    if (keyFailure.isPresent()) {
      return Either.left(keyFailure.get());
    }
    int most = customer.map(CustomerPolicy::maxInFlight).orElse(Integer.MAX_VALUE);
    if (!services.active().enter(context.customer(), most)) {
      return Either.left(Failure.of(ResultCode.CUSTOMER_LIMIT));
    }
    run(context, work.get(), body, caller);
    return Either.right(null);
  }

  /** The key may have been withdrawn while the body arrived. */
  private Optional<Failure> recheckKey(RequestContext context) {
    return context
        .key()
        .map(key -> keys.authenticate(key, System.nanoTime()))
        .filter(Either::isLeft)
        .map(Either::getLeft);
  }

  private void run(RequestContext context, Work work, byte[] body, Caller caller) {
    RunEnd end = new RunEnd(services, context, work);
    Optional<String> key = context.head().header("idempotency-key");
    if (work instanceof PlainWork plain && !plain.route().idempotent() && key.isPresent()) {
      new ClaimedRun(services, context, plain, body, caller, end).start(key.get());
      return;
    }
    new RequestRun(services, context, work, caller, end).start();
  }

  private Either<Failure, Work> work(
      RequestContext context, Target target, Credentials credentials, byte[] body) {
    return target instanceof Target.Model model
        ? modelWork(context, model.endpoint(), credentials, body)
        : plainWork(context, (Target.Plain) target, credentials, body);
  }

  private Either<Failure, Work> modelWork(
      RequestContext context, Endpoint endpoint, Credentials credentials, byte[] body) {
    if (credentials.occursIn(List.of(body))) {
      return Either.left(Failure.of(ResultCode.KEY_IN_REQUEST));
    }
    Either<Failure, ModelBody> parsed = ModelBody.parse(body);
    if (parsed.isLeft()) {
      return Either.left(parsed.getLeft());
    }
    Optional<ModelPolicy> model = policies.view().policy().model(parsed.get().model());
    if (model.isEmpty()) {
      return Either.left(Failure.of(ResultCode.MODEL_UNKNOWN));
    }
    return Either.right(new ModelWork(context, endpoint, model.get(), parsed.get()));
  }

  private static Either<Failure, Work> plainWork(
      RequestContext context, Target.Plain target, Credentials credentials, byte[] body) {
    CallerHead head = context.head();
    String query = Query.of(head.query()).without(Credentials.QUERY_PARAMETERS);
    String path = query.isEmpty() ? head.rawPath() : head.rawPath() + "?" + query;
    List<Header> headers = HeaderRules.toUpstream(head.headers());
    List<byte[]> parts = new ArrayList<>();
    parts.add(path.getBytes(StandardCharsets.UTF_8));
    headers.forEach(header -> parts.add(header.value().getBytes(StandardCharsets.UTF_8)));
    parts.add(body);
    if (credentials.occursIn(parts)) {
      return Either.left(Failure.of(ResultCode.KEY_IN_REQUEST));
    }
    return Either.right(new PlainWork(context, target.route(), path, headers, body));
  }

  void refuse(RequestId id, CallerHead head, Failure failure, Caller caller) {
    ErrorAnswers.send(caller, id, failure, Outcome.NOT_RUN, 0);
    services.reporter().report(RouterIntake.refusal(id, head, failure));
  }
}
