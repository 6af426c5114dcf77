package io.jacinthquay.router.port;

/** A call to an upstream in progress; used on the I/O thread of the call. */
public interface UpstreamCall {
  /** Cancels the call and closes its connection; the listener is not called again. */
  void cancel();

  /**
   * Discards the rest of the response; the listener is not called again.
   *
   * <p>If little is left, it is read so that the connection can be reused; otherwise the connection
   * is closed.
   */
  void discard();

  /** Resumes reading after {@link UpstreamListener#onData} returned false. */
  void resume();

  /** Returns whether a byte of the request may have reached the upstream. */
  boolean mayHaveRun();
}
