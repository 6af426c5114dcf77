package io.jacinthquay.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Tells when a fault keeps a router from hearing what it has to follow. */
final class Touch {
  /** From the users' rules: a machine that was disturbed within this time is out of touch. */
  static final long CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final List<Span> spans;

  Touch(History history) {
    this.spans = history.spans();
  }

  /** Returns whether a router was, or may have been, out of touch in a span of time. */
  boolean isOut(int router, long fromNanos, long untilNanos) {
    return spans.stream()
        .filter(span -> span.touches(fromNanos - CONTACT_NANOS, untilNanos))
        .anyMatch(
            span ->
                switch (span.what().where()) {
                  case ROUTER -> span.concerns(router);
                  case CONTROL, OBSERVER -> true;
                  default -> false;
                });
  }
}
