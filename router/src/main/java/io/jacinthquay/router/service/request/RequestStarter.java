package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.CustomerPolicy;
import io.jacinthquay.model.policy.ModelPolicy;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.KeyAuthority;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake.AdmittedHead;
import io.jacinthquay.router.service.config.PolicyHolder;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks request bodies and starts requests. */
final class RequestStarter {
  private final PolicyHolder policies;
  private final KeyAuthority keys;
  private final RequestServices services;

  RequestStarter(PolicyHolder policies, KeyAuthority keys, RequestServices services) {
    this.policies = policies;
    this.keys = keys;
    this.services = services;
  }

  /**
   * Returns the handler that starts the request once its body has arrived.
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
      ModelListAnswer.send(caller, context.id(), policies.view().models());
      return Either.right(null);
    }
    Either<Failure, RequestSpec> spec = spec(context, target, credentials, body);
    if (spec.isLeft()) {
      return Either.left(spec.getLeft());
    }
    Optional<Failure> keyFailure = recheckKey(context);
    if (keyFailure.isPresent()) {
      return Either.left(keyFailure.get());
    }
    int limit = customer.map(CustomerPolicy::maxInFlight).orElse(Integer.MAX_VALUE);
    if (!services.active().tryEnter(context.customer(), limit)) {
      return Either.left(Failure.of(ResultCode.CUSTOMER_LIMIT));
    }
    run(context, spec.get(), body, caller);
    return Either.right(null);
  }

  /** Checks the key again, since it may have been withdrawn while the body arrived. */
  private Optional<Failure> recheckKey(RequestContext context) {
    return context
        .key()
        .map(key -> keys.authenticate(key, System.nanoTime()))
        .filter(Either::isLeft)
        .map(Either::getLeft);
  }

  private void run(RequestContext context, RequestSpec spec, byte[] body, Caller caller) {
    RequestFinisher finisher = new RequestFinisher(services, context, spec);
    Optional<String> key = context.head().header("idempotency-key");
    if (spec instanceof PlainRequestSpec plain && !plain.route().idempotent() && key.isPresent()) {
      new ClaimedRun(services, context, plain, body, caller, finisher).start(key.get());
      return;
    }
    new RequestRun(services, context, spec, caller, finisher).start();
  }

  private Either<Failure, RequestSpec> spec(
      RequestContext context, Target target, Credentials credentials, byte[] body) {
    return target instanceof Target.Model model
        ? modelSpec(context, model.endpoint(), credentials, body)
        : plainSpec(context, (Target.Plain) target, credentials, body);
  }

  private Either<Failure, RequestSpec> modelSpec(
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
    return Either.right(new ModelRequestSpec(context, endpoint, model.get(), parsed.get()));
  }

  private static Either<Failure, RequestSpec> plainSpec(
      RequestContext context, Target.Plain target, Credentials credentials, byte[] body) {
    RequestHead head = context.head();
    String query = Query.of(head.query()).without(Credentials.QUERY_PARAMETERS);
    String path = query.isEmpty() ? head.rawPath() : head.rawPath() + "?" + query;
    List<Header> headers = HeaderRules.toUpstream(head.headers());
    List<byte[]> forwardedParts = new ArrayList<>();
    forwardedParts.add(path.getBytes(StandardCharsets.UTF_8));
    headers.forEach(header -> forwardedParts.add(header.value().getBytes(StandardCharsets.UTF_8)));
    forwardedParts.add(body);
    if (credentials.occursIn(forwardedParts)) {
      return Either.left(Failure.of(ResultCode.KEY_IN_REQUEST));
    }
    return Either.right(new PlainRequestSpec(context, target.route(), path, headers, body));
  }

  void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
    ErrorAnswers.send(caller, id, failure, Outcome.NOT_RUN, 0);
    services.reporter().report(RouterIntake.refusalRecord(id, head, failure));
  }
}
