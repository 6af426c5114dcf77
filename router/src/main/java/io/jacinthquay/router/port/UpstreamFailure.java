package io.jacinthquay.router.port;

/** How a call to an upstream failed. */
public enum UpstreamFailure {
  /** No connection could be opened; nothing was sent. */
  UNREACHABLE,
  /** The connection broke after the request may have been sent. */
  BROKE,
  /** The answer names another request; the connection is closed. */
  MISMATCH
}
