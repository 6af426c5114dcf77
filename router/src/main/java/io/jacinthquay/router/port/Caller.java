package io.jacinthquay.router.port;

import java.nio.ByteBuffer;
import java.util.OptionalLong;

/** Sends the response of one request to its caller; used on its {@link EventThread}. */
public interface Caller {
  /** Returns the event thread of the request. */
  EventThread thread();

  /** Sets the listener for write readiness and disconnects. */
  void setListener(CallerListener listener);

  /**
   * Sends the head of the response.
   *
   * @param length length of the body in bytes; empty if it is not known
   */
  void begin(ResponseHead head, OptionalLong length);

  /** Returns whether the head has been sent. */
  boolean hasBegun();

  /**
   * Sends a part of the body; data that can't be written at once is copied.
   *
   * @return whether more can be written now; if not, {@link CallerListener#onWritable()} is called
   *     later
   */
  boolean write(ByteBuffer data);

  /** Ends the response. */
  void end();

  /**
   * Sends a complete response.
   *
   * @param head the head of the response
   * @param body the body; may be empty
   */
  default void sendResponse(ResponseHead head, byte[] body) {
    begin(head, OptionalLong.of(body.length));
    if (body.length > 0) {
      boolean unused = write(ByteBuffer.wrap(body));
    }
    end();
  }

  /** Closes the connection, so that the caller sees that the response is incomplete. */
  void abort();
}
