package io.jacinthquay.decision.dispatch;

/** What the end of one send says of the upstream. */
public enum SendEnd {
  /** It answered in full. */
  SUCCEEDED,
  /** It could not be reached. */
  UNREACHABLE,
  /** Another one answers at its address: the one that the list names has ended. */
  ENDED,
  /** It failed, or its answer broke off. */
  FAILED,
  /** Nothing: the caller left, or it was full. */
  UNDECIDED
}
