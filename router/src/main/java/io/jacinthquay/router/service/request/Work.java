package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.router.service.dispatch.DispatchRequest;
import io.jacinthquay.router.service.dispatch.Grant;

/** What a request asks for, and how its answer reaches the caller. */
interface Work {
  /** Returns the model or route, for logs and bills. */
  String target();

  /** Returns what the dispatcher needs to know. */
  DispatchRequest dispatchRequest();

  /** Returns the request for one upstream. */
  UpstreamRequest upstreamRequest(Grant grant, Delivered delivered);

  /** Returns what carries the answer of all attempts to the caller. */
  AnswerRelay relay(RelayContext context);

  /** Returns whether the request goes to a model engine. */
  boolean isModelWork();
}
