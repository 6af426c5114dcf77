package io.jacinthquay.decision.dispatch;

/** What the end of one send says of the upstream. */
public enum SendEnd {
  /** It answered in full. */
  SUCCEEDED,
  /** It could not be reached, or is another one than the list said. */
  UNREACHABLE,
  /** It failed, or its answer broke off. */
  FAILED,
  /** Nothing: the caller left, or it was full. */
  UNDECIDED
}
