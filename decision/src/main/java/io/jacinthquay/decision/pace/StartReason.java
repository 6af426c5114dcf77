package io.jacinthquay.decision.pace;

/** Why an upstream is in slow start. */
public enum StartReason {
  /** It was listed for the first time. */
  LISTED,
  /** It was started again under the same id. */
  RESTARTED,
  /** Requests to it failed, or it was silent, until the circuit breaker tripped. */
  FAILED,
  /** Most of its answers to all routers missed, other than those of its pool. */
  MISSED
}
