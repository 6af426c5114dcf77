package io.jacinthquay.router.service.forward;

import java.util.Locale;

/** What a router does with learned rates. */
public enum LearnedPart {
  /** Rates are observed and reported, so that control VMs can size pools by them. */
  REPORT,
  /** Upstreams are selected by learned rates. */
  PLACEMENT,
  /** Requests wait in one order over all routers and are admitted by their expected wait. */
  QUEUE,
  /** Upstreams that are new or have come back get few requests at first. */
  SLOW_START;

  /**
   * Returns the part with a name in lower case, with a hyphen between words.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static LearnedPart parse(String text) {
    for (LearnedPart part : values()) {
      if (part.text().equals(text)) {
        return part;
      }
    }
    throw new IllegalArgumentException("is not report, placement, queue or slow-start: " + text);
  }

  /** Returns the name in lower case, with a hyphen between words. */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
