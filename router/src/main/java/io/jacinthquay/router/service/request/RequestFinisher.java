package io.jacinthquay.router.service.request;

import io.jacinthquay.router.service.report.RequestRecord;
import java.util.Optional;

/** Reports an ended request and removes it from the count of active requests. */
class RequestFinisher implements RequestEndListener {
  private final RequestServices services;
  private final RequestContext context;
  private final RequestSpec spec;

  RequestFinisher(RequestServices services, RequestContext context, RequestSpec spec) {
    this.services = services;
    this.context = context;
    this.spec = spec;
  }

  @Override
  public boolean outlivesCaller() {
    return false;
  }

  @Override
  public void ended(Summary summary, AnswerRelay relay) {
    services.active().leave(context.customer());
    services
        .reporter()
        .report(
            new RequestRecord(
                context.id(),
                context.head().method(),
                context.head().path(),
                Optional.of(context.customer()),
                Optional.of(context.classPolicy().name()),
                spec.target(),
                summary.upstream(),
                summary.attempts(),
                summary.code(),
                summary.outcome(),
                context.arrivedNanos(),
                summary.firstByteNanos(),
                relay == null || relay.timesFirstToken(),
                System.nanoTime() - context.arrivedNanos(),
                summary.inputTokens(),
                summary.outputTokens()));
  }
}
