package io.jacinthquay.router.service.request;

import io.jacinthquay.router.service.report.RequestRecord;
import java.util.Optional;

/** Reports a request that has ended and frees its place. */
class RunEnd implements RequestEnd {
  private final RunServices services;
  private final RequestContext context;
  private final Work work;

  RunEnd(RunServices services, RequestContext context, Work work) {
    this.services = services;
    this.context = context;
    this.work = work;
  }

  @Override
  public boolean outlivesCaller() {
    return false;
  }

  @Override
  public void ended(Facts facts, AnswerRelay relay) {
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
                work.target(),
                facts.upstream(),
                facts.attempts(),
                facts.code(),
                facts.outcome(),
                context.arrivedNanos(),
                facts.firstByteNanos(),
                relay == null || relay.timesFirstToken(),
                System.nanoTime() - context.arrivedNanos(),
                facts.inputTokens(),
                facts.outputTokens()));
  }
}
