package io.jacinthquay.router.port;

/** A call in progress; its methods are called on the I/O thread of the call. */
public interface UpstreamCall {
  /** Ends the call by closing its connection; the listener hears nothing more. */
  void cancel();

  /**
   * Drops the rest of the answer; the listener hears nothing more.
   *
   * <p>A small rest is read, so that the connection can be used again; else it is closed.
   */
  void discard();

  /** Reads on after the listener refused further data. */
  void resume();

  /** Returns whether a byte of the request may have reached the upstream. */
  boolean mayHaveRun();
}
