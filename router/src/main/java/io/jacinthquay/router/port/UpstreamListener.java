package io.jacinthquay.router.port;

import java.nio.ByteBuffer;

/** Hears of the progress of one call, always on the same I/O thread. */
public interface UpstreamListener {
  /**
   * The connection is open and the request is about to be written, unless the call is cancelled
   * now; from then on it may run.
   */
  void onSending();

  /** The head of the answer arrived. */
  void onHead(AnswerHead head);

  /**
   * A part of the body arrived.
   *
   * @param data valid during this call only
   * @return whether to read on; otherwise nothing is read until {@link UpstreamCall#resume()}
   */
  boolean onData(ByteBuffer data);

  /** The whole answer arrived. */
  void onEnd();

  /** The call failed; nothing more follows. */
  void onFailure(UpstreamFailure failure);
}
