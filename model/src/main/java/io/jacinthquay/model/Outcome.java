package io.jacinthquay.model;

/** Whether an upstream has executed a request. */
public enum Outcome {
  /** No upstream has executed any part of the request. */
  NOT_RUN("not-run"),
  /** An upstream has executed the request. */
  RAN("ran"),
  /** An upstream may or may not have executed the request. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** Returns the text that headers, events and logs use. */
  public String text() {
    return text;
  }
}
