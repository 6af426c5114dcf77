package io.jacinthquay.router.service.request;

import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.model.policy.RoutePolicy;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.router.service.dispatch.DispatchRequest;
import io.jacinthquay.router.service.dispatch.Grant;
import java.util.List;
import java.util.Optional;

/** A request to a plain service. */
final class PlainRequestSpec implements RequestSpec {
  private final RequestContext context;
  private final RoutePolicy route;
  private final String target;
  private final List<Header> headers;
  private final byte[] body;
  private final DispatchRequest dispatchRequest;

  PlainRequestSpec(
      RequestContext context, RoutePolicy route, String target, List<Header> headers, byte[] body) {
    this.context = context;
    this.route = route;
    this.target = target;
    this.headers = headers;
    this.body = body;
    this.dispatchRequest = newDispatchRequest();
  }

  RoutePolicy route() {
    return route;
  }

  @Override
  public String target() {
    return route.name().value();
  }

  @Override
  public DispatchRequest dispatchRequest() {
    return dispatchRequest;
  }

  private DispatchRequest newDispatchRequest() {
    return new DispatchRequest(
        context.id(),
        route.pool(),
        context.classPolicy().name(),
        context.customer(),
        Optional.empty(),
        1,
        context.deadlineAfter(context.classPolicy().firstTokenMs()),
        context.deadlineAfter(route.timeoutMs()),
        route.idempotent(),
        false,
        PlacementRequest.plain());
  }

  @Override
  public UpstreamRequest upstreamRequest(Grant grant, DeliveredOutput delivered) {
    return new UpstreamRequest(
        context.id(),
        grant.address(),
        context.head().method(),
        target,
        headers,
        body,
        route.idempotent(),
        false);
  }

  @Override
  public AnswerRelay relay(RelayContext relayContext) {
    return new PlainRelay(relayContext);
  }

  @Override
  public boolean isModelRequest() {
    return false;
  }
}
