package io.jacinthquay.router.port;

import java.nio.ByteBuffer;
import java.util.OptionalLong;

/** The way back to the caller of one request; used on its {@link EventThread}. */
public interface Caller {
  /** Returns the thread of the request. */
  EventThread thread();

  /** Sets who hears of a slow or lost caller. */
  void listener(CallerListener listener);

  /**
   * Sends the head of the answer.
   *
   * @param length length of the body in bytes, if it is known
   */
  void begin(AnswerHead head, OptionalLong length);

  /** Returns whether the head was sent. */
  boolean hasBegun();

  /**
   * Sends a part of the body; the data is copied if the caller is slow.
   *
   * @return whether more may be written now; otherwise {@link CallerListener#onWritable()} follows
   */
  boolean write(ByteBuffer data);

  /** Ends the answer. */
  void end();

  /**
   * Sends a whole answer.
   *
   * @param head its head
   * @param body its body, which may be empty
   */
  default void answer(AnswerHead head, byte[] body) {
    begin(head, OptionalLong.of(body.length));
    if (body.length > 0) {
      boolean unused = write(ByteBuffer.wrap(body));
    }
    end();
  }

  /** Closes the connection, so that the caller sees that the answer is not whole. */
  void abort();
}
