package io.jacinthquay.decision.placement;

/** How an attempt ended, as far as the result concerns the upstream. */
public enum AttemptEnd {
  /** The answer was received completely. */
  COMPLETED,
  /** The caller or the router cancelled the attempt; the upstream's health is not affected. */
  CANCELLED,
  /** The upstream refused the request because it is at capacity; its health is not affected. */
  REFUSED,
  /** The connection failed, the stream broke, or there was a timeout or a server error. */
  FAILED
}
