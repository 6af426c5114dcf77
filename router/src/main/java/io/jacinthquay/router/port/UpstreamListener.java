package io.jacinthquay.router.port;

import java.nio.ByteBuffer;

/** Listens to the progress of one call, always on the same I/O thread. */
public interface UpstreamListener {
  /**
   * Called when the connection is open and the request is about to be written. The call can still
   * be cancelled here; once this returns, the upstream may run the request.
   */
  void onSending();

  /** Called when the head of the response has arrived. */
  void onHead(ResponseHead head);

  /**
   * Called when a part of the body has arrived.
   *
   * @param data valid during this call only
   * @return whether to continue reading; if not, reading pauses until {@link UpstreamCall#resume()}
   */
  boolean onData(ByteBuffer data);

  /** Called when the complete response has arrived. */
  void onEnd();

  /** Called when the call has failed; no other method is called after this. */
  void onFailure(UpstreamFailure failure);
}
