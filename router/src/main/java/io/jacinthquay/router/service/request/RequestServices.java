package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.router.service.dispatch.Dispatcher;
import io.jacinthquay.router.service.report.RequestReporter;
import io.jacinthquay.runtime.http.AnswerMemory;
import java.util.Objects;

/**
 * The services that all requests share.
 *
 * @param dispatcher decides when and where requests run
 * @param upstreams sends requests to upstreams
 * @param claims stores idempotency claims
 * @param active the requests in progress
 * @param reporter receives the record of each ended request
 * @param answerMemory the memory for answers until they are passed on
 * @param stallMillis time without data after which an upstream is considered stalled, in
 *     milliseconds
 */
public record RequestServices(
    Dispatcher dispatcher,
    UpstreamClient upstreams,
    ClaimStore claims,
    ActiveRequests active,
    RequestReporter reporter,
    AnswerMemory answerMemory,
    long stallMillis) {
  /**
   * Creates the services.
   *
   * @throws NullPointerException if an argument is null
   */
  public RequestServices {
    Objects.requireNonNull(dispatcher, "dispatcher");
    Objects.requireNonNull(upstreams, "upstreams");
    Objects.requireNonNull(claims, "claims");
    Objects.requireNonNull(active, "active");
    Objects.requireNonNull(reporter, "reporter");
    Objects.requireNonNull(answerMemory, "answerMemory");
  }
}
