package io.jacinthquay.router.service.report;

/** Receives the result of each request, once per request. */
@FunctionalInterface
public interface RequestReporter {
  /** Reports one request. */
  void report(RequestRecord entry);
}
