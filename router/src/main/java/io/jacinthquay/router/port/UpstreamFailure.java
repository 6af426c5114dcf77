package io.jacinthquay.router.port;

/** Why a call to an upstream failed. */
public enum UpstreamFailure {
  /** No connection could be opened, so nothing was sent. */
  UNREACHABLE,
  /** The connection broke after the request may have been sent. */
  BROKE,
  /** The response names another request; the connection is closed. */
  MISMATCH,
  /** The response was given up as no memory is left for it, which is not the upstream's fault. */
  NO_MEMORY
}
