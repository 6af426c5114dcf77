package io.jacinthquay.router.service.request;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.model.policy.CustomerPolicy;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.KeyAuthority;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.service.config.PolicyHolder;
import io.jacinthquay.router.service.config.PolicyView;
import io.jacinthquay.router.service.report.RequestRecord;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/** Checks request heads, authenticates each request and starts the admitted ones. */
public final class RouterIntake implements RequestIntake {
  private static final String CLASS_HEADER = "x-jq-class";

  /** Radix of the counter in request ids; the largest one gives the shortest ids. */
  private static final int RADIX = 36;

  private final String incarnation;
  private final PolicyHolder policies;
  private final KeyAuthority keys;
  private final StatusPages pages;
  private final RequestStarter starter;
  private final BooleanSupplier draining;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates an intake.
   *
   * @param incarnation identifies this start of this router; the prefix of every request id
   * @param draining returns whether the router is shutting down
   */
  public RouterIntake(
      String incarnation,
      PolicyHolder policies,
      KeyAuthority keys,
      StatusPages pages,
      RequestServices services,
      BooleanSupplier draining) {
    this.incarnation = incarnation;
    this.policies = policies;
    this.keys = keys;
    this.pages = pages;
    this.starter = new RequestStarter(policies, keys, services);
    this.draining = draining;
  }

  @Override
  public RequestId nextId() {
    return new RequestId(incarnation + "-" + Long.toString(counter.incrementAndGet(), RADIX));
  }

  @Override
  public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
    long now = System.nanoTime();
    Optional<AdmittedHead> page = pages.page(head);
    if (page.isPresent()) {
      return Either.right(page.get());
    }
    if (draining.getAsBoolean()) {
      return Either.left(Failure.of(ResultCode.SHUTTING_DOWN));
    }
    PolicyView view = policies.view();
    if (view.policy().version().equals(ConfigVersion.NONE)) {
      return Either.left(Failure.of(ResultCode.NOT_READY));
    }
    return TargetResolver.resolve(head, view)
        .flatMap(target -> authenticate(id, head, target, view, now));
  }

  private Either<Failure, AdmittedHead> authenticate(
      RequestId id, RequestHead head, Target target, PolicyView view, long now) {
    Either<Failure, Credentials> parsed = Credentials.of(head);
    if (parsed.isLeft()) {
      return Either.left(parsed.getLeft());
    }
    Credentials credentials = parsed.get();
    if (target.open()) {
      return openContext(id, head, target, view, now)
          .map(context -> starter.prepare(context, target, credentials, Optional.empty()));
    }
    if (credentials.digest().isEmpty()) {
      return Either.left(Failure.of(ResultCode.KEY_MISSING));
    }
    Either<Failure, CustomerPolicy> owner = keys.authenticate(credentials.digest().get(), now);
    if (owner.isLeft()) {
      return Either.left(owner.getLeft());
    }
    CustomerPolicy customer = owner.get();
    return resolveClass(head, target, customer, view)
        .map(
            policy ->
                new RequestContext(id, head, customer.name(), credentials.digest(), policy, now))
        .map(context -> starter.prepare(context, target, credentials, Optional.of(customer)));
  }

  private static Either<Failure, RequestContext> openContext(
      RequestId id, RequestHead head, Target target, PolicyView view, long now) {
    Target.Plain plain = (Target.Plain) target;
    ClassName name = plain.route().className().orElseThrow();
    return classPolicy(name, view)
        .map(
            policy ->
                new RequestContext(
                    id, head, RequestContext.OPEN_CUSTOMER, Optional.empty(), policy, now));
  }

  private static Either<Failure, ClassPolicy> resolveClass(
      RequestHead head, Target target, CustomerPolicy customer, PolicyView view) {
    Optional<String> requestedClass = head.header(CLASS_HEADER);
    if (requestedClass.isPresent()) {
      return customer.classes().stream()
          .filter(name -> name.value().equals(requestedClass.get()))
          .findFirst()
          .map(name -> classPolicy(name, view))
          .orElse(Either.left(Failure.of(ResultCode.CLASS_NOT_ALLOWED)));
    }
    Optional<ClassName> routeClass =
        target instanceof Target.Plain plain ? plain.route().className() : Optional.empty();
    return classPolicy(routeClass.orElse(customer.defaultClass()), view);
  }

  private static Either<Failure, ClassPolicy> classPolicy(ClassName name, PolicyView view) {
    return view.policy()
        .classPolicy(name)
        .map(Either::<Failure, ClassPolicy>right)
        .orElse(Either.left(Failure.of(ResultCode.CLASS_NOT_ALLOWED)));
  }

  @Override
  public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
    starter.refuse(id, head, failure, caller);
  }

  /** Returns the record of a request that was refused before it was dispatched. */
  static RequestRecord refusalRecord(RequestId id, RequestHead head, Failure failure) {
    long now = System.nanoTime();
    return new RequestRecord(
        id,
        head.method(),
        head.path(),
        Optional.empty(),
        Optional.empty(),
        "",
        Optional.empty(),
        0,
        Optional.of(failure.code()),
        failure.code().outcome(),
        now,
        -1,
        false,
        0,
        0,
        0);
  }
}
