package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.RoutePolicy;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.service.config.PolicyView;
import io.vavr.control.Either;
import java.util.Optional;

/** Resolves the method and path of a request head to a target. */
final class TargetResolver {
  static final String MODELS_PATH = "/v1/models";

  private TargetResolver() {}

  static Either<Failure, Target> resolve(RequestHead head, PolicyView view) {
    if (isAmbiguous(head.path())) {
      return Either.left(Failure.of(ResultCode.BAD_REQUEST, "the path is ambiguous"));
    }
    Optional<Endpoint> endpoint = Endpoint.of(head.path());
    if (endpoint.isPresent()) {
      return withMethod(head, "POST", new Target.Model(endpoint.get()));
    }
    if (head.path().equals(MODELS_PATH)) {
      return withMethod(head, "GET", new Target.ModelList());
    }
    Optional<RoutePolicy> route = view.route(head.path());
    if (route.isEmpty()) {
      return Either.left(Failure.of(ResultCode.ROUTE_UNKNOWN));
    }
    if (!route.get().methods().contains(head.method())) {
      return Either.left(Failure.of(ResultCode.METHOD_NOT_ALLOWED));
    }
    return Either.right(new Target.Plain(route.get()));
  }

  private static Either<Failure, Target> withMethod(
      RequestHead head, String method, Target target) {
    return head.method().equals(method)
        ? Either.right(target)
        : Either.left(Failure.of(ResultCode.METHOD_NOT_ALLOWED));
  }

  /**
   * Returns whether an upstream might normalize the path to a different one, which would bypass the
   * rules of the route.
   */
  private static boolean isAmbiguous(String path) {
    if (!path.startsWith("/") || path.contains("//") || path.indexOf('\\') >= 0) {
      return true;
    }
    for (String segment : path.split("/")) {
      if (segment.equals(".") || segment.equals("..")) {
        return true;
      }
    }
    return path.indexOf('%') >= 0 || path.chars().anyMatch(c -> c < ' ' || c == 0x7f);
  }
}
