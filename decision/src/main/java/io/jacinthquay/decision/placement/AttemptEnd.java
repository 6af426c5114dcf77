package io.jacinthquay.decision.placement;

/** How an attempt ended, as far as it tells something of the upstream. */
public enum AttemptEnd {
  /** The whole answer came. */
  COMPLETED,
  /** The caller or the router gave up; says nothing of the upstream. */
  CANCELLED,
  /** The upstream refused the request because it is full; says nothing of its health. */
  REFUSED,
  /** No connection, a broken stream, a timeout or a server error. */
  FAILED
}
