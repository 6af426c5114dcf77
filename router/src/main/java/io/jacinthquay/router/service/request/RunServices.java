package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.router.service.dispatch.Dispatcher;
import io.jacinthquay.router.service.report.RequestReporter;
import java.util.Objects;

/**
 * What every request uses.
 *
 * @param dispatcher decides when and where requests run
 * @param upstreams sends them
 * @param claims records idempotency keys
 * @param active the requests in progress
 * @param reporter hears how each request went
 * @param stallMillis silence after which an upstream counts as stalled, in milliseconds
 */
public record RunServices(
    Dispatcher dispatcher,
    UpstreamClient upstreams,
    ClaimStore claims,
    ActiveRequests active,
    RequestReporter reporter,
    long stallMillis) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public RunServices {
    Objects.requireNonNull(dispatcher, "dispatcher");
    Objects.requireNonNull(upstreams, "upstreams");
    Objects.requireNonNull(claims, "claims");
    Objects.requireNonNull(active, "active");
    Objects.requireNonNull(reporter, "reporter");
  }
}
