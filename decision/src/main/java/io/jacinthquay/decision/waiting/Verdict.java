package io.jacinthquay.decision.waiting;

import java.util.Objects;

/**
 * What was decided about a request that had no place.
 *
 * @param item the request
 * @param admission whether it waits, or why it is rejected
 * @param estimate the figures that decided, for the log; empty if none did
 */
public record Verdict<T>(T item, Admission admission, String estimate) {
  /** Checks that all parts are present. */
  public Verdict {
    Objects.requireNonNull(item, "item");
    Objects.requireNonNull(admission, "admission");
    Objects.requireNonNull(estimate, "estimate");
  }
}
