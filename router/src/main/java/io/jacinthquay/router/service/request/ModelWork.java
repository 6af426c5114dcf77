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

/** A request to the model interface. */
final class ModelWork implements Work {
  private static final List<Header> HEADERS =
      List.of(new Header("content-type", "application/json"));

  /** Longest time for a whole answer, in milliseconds. */
  private static final long WHOLE_ANSWER_MILLIS = TimeUnit.MINUTES.toMillis(30);

  /** The same for classes whose requests wait as long as it takes, in milliseconds. */
  private static final long MUST_FINISH_MILLIS = TimeUnit.HOURS.toMillis(24);

  private final RequestContext context;
  private final Endpoint endpoint;
  private final ModelPolicy model;
  private final ModelBody body;
  private final DispatchRequest dispatch;

  ModelWork(RequestContext context, Endpoint endpoint, ModelPolicy model, ModelBody body) {
    this.context = context;
    this.endpoint = endpoint;
    this.model = model;
    this.body = body;
    this.dispatch = newDispatch();
  }

  private DispatchRequest newDispatch() {
    long most = body.maxTokens(model.maxOutputTokens());
    int blockBytes = PromptPrefix.DEFAULT_BLOCK_TOKENS * ModelBody.BYTES_PER_TOKEN;
    PromptPrefix prefix =
        PromptPrefix.ofBytes(body.promptBytes(), blockBytes, PromptPrefix.DEFAULT_BLOCK_TOKENS);
    int expected = (int) Math.min(Integer.MAX_VALUE, most);
    boolean patient = context.classPolicy().mustFinish();
    return new DispatchRequest(
        context.id(),
        model.pool(),
        context.classPolicy().name(),
        context.customer(),
        Optional.of(model.name()),
        most,
        context.after(context.classPolicy().firstTokenMs()),
        context.after(patient ? MUST_FINISH_MILLIS : WHOLE_ANSWER_MILLIS),
        true,
        false,
        new PlacementRequest(prefix, body.promptTokens(), expected, Set.of()));
  }

  @Override
  public String target() {
    return model.name().value();
  }

  @Override
  public DispatchRequest dispatchRequest() {
    return dispatch;
  }

  @Override
  public UpstreamRequest upstreamRequest(Grant grant, Delivered delivered) {
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
  public boolean isModelWork() {
    return true;
  }
}
