package io.jacinthquay.decision.dispatch;

/** The result of sending a request to an upstream. */
public enum SendOutcome {
  /** The upstream answered completely. */
  SUCCEEDED,
  /** The upstream could not be reached. */
  UNREACHABLE,
  /** Another upstream answers at its address, so the listed one no longer exists. */
  ENDED,
  /** The upstream failed or its answer was truncated. */
  FAILED,
  /** No evidence: the caller disconnected, or the upstream was full. */
  UNDECIDED
}
