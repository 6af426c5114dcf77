package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.router.service.dispatch.DispatchRequest;
import io.jacinthquay.router.service.dispatch.Grant;

/** Describes what a request needs from the dispatcher and how it is sent and answered. */
interface RequestSpec {
  /** Returns the name of the model or route, for logs and billing. */
  String target();

  /** Returns the request for the dispatcher. */
  DispatchRequest dispatchRequest();

  /**
   * Returns the request to send to an upstream.
   *
   * @param delivered output of earlier attempts that was sent to the caller
   */
  UpstreamRequest upstreamRequest(Grant grant, DeliveredOutput delivered);

  /** Returns a relay that sends the answer of all attempts to the caller. */
  AnswerRelay relay(RelayContext context);

  /** Returns whether the request goes to a model engine. */
  boolean isModelRequest();
}
