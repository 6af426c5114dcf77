package io.jacinthquay.router.service.report;

/** Hears how each request went, once per request. */
@FunctionalInterface
public interface RequestReporter {
  /** Takes in one record. */
  void report(RequestRecord entry);
}
