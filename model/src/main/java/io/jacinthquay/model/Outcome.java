package io.jacinthquay.model;

/** Tells whether a request had an effect on an upstream. */
public enum Outcome {
  /** No upstream has run any part of the request. */
  NOT_RUN("not-run"),
  /** An upstream has run the request. */
  RAN("ran"),
  /** An upstream may or may not have run the request. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** Returns the form used in headers, events and logs. */
  public String text() {
    return text;
  }
}
