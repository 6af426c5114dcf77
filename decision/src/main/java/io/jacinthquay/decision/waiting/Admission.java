package io.jacinthquay.decision.waiting;

/** Whether a request may wait. */
public enum Admission {
  /** It waits and is expected to meet its target. */
  ON_TIME("on time"),
  /** It waits and is expected to be late. */
  LATE("late"),
  /** It is rejected as no answer is expected before its deadline. */
  HOPELESS("no place is expected in time"),
  /** It is rejected as it has waited for too long or was displaced. */
  OVERDUE("no place became free in time"),
  /** It is rejected as the queue is full. */
  FULL("the queue is full");

  private final String text;

  Admission(String text) {
    this.text = text;
  }

  /** Returns whether the request waits. */
  public boolean waits() {
    return this == ON_TIME || this == LATE;
  }

  /** Returns the reason for log lines and responses. */
  public String text() {
    return text;
  }
}
