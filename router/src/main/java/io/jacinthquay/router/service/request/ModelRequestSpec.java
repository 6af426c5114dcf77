package io.jacinthquay.router.service.request;

import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.decision.placement.PromptPrefix;
import io.jacinthquay.model.policy.ModelPolicy;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.router.service.dispatch.DispatchRequest;
import io.jacinthquay.router.service.dispatch.Grant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A request to the model API. */
final class ModelRequestSpec implements RequestSpec {
  private static final List<Header> HEADERS =
      List.of(new Header("content-type", "application/json"));

  /** Timeout of a complete answer, in milliseconds. */
  private static final long ANSWER_TIMEOUT_MILLIS = TimeUnit.MINUTES.toMillis(30);

  /** Timeout of a complete answer for classes whose requests must finish, in milliseconds. */
  private static final long MUST_FINISH_TIMEOUT_MILLIS = TimeUnit.HOURS.toMillis(24);

  private final RequestContext context;
  private final Endpoint endpoint;
  private final ModelPolicy model;
  private final ModelBody body;
  private final DispatchRequest dispatchRequest;

  ModelRequestSpec(RequestContext context, Endpoint endpoint, ModelPolicy model, ModelBody body) {
    this.context = context;
    this.endpoint = endpoint;
    this.model = model;
    this.body = body;
    this.dispatchRequest = newDispatchRequest();
  }

  private DispatchRequest newDispatchRequest() {
    long maxOutputTokens = body.maxTokens(model.maxOutputTokens());
    int blockBytes = PromptPrefix.DEFAULT_BLOCK_TOKENS * ModelBody.BYTES_PER_TOKEN;
    PromptPrefix prefix =
        PromptPrefix.ofBytes(body.promptBytes(), blockBytes, PromptPrefix.DEFAULT_BLOCK_TOKENS);
    int expectedOutputTokens = (int) Math.min(Integer.MAX_VALUE, maxOutputTokens);
    boolean mustFinish = context.classPolicy().mustFinish();
    return new DispatchRequest(
        context.id(),
        model.pool(),
        context.classPolicy().name(),
        context.customer(),
        Optional.of(model.name()),
        maxOutputTokens,
        context.deadlineAfter(context.classPolicy().firstTokenMs()),
        context.deadlineAfter(mustFinish ? MUST_FINISH_TIMEOUT_MILLIS : ANSWER_TIMEOUT_MILLIS),
        true,
        false,
        new PlacementRequest(prefix, body.promptTokens(), expectedOutputTokens, Set.of()));
  }

  @Override
  public String target() {
    return model.name().value();
  }

  @Override
  public DispatchRequest dispatchRequest() {
    return dispatchRequest;
  }

  @Override
  public UpstreamRequest upstreamRequest(Grant grant, DeliveredOutput delivered) {
    return new UpstreamRequest(
        context.id(),
        grant.address(),
        "POST",
        endpoint.path(),
        HEADERS,
        body.forward(context.classPolicy().tier().value(), delivered),
        true,
        true);
  }

  @Override
  public AnswerRelay relay(RelayContext relayContext) {
    return body.stream() ? new StreamRelay(relayContext) : new JsonRelay(relayContext);
  }

  @Override
  public boolean isModelRequest() {
    return true;
  }
}
