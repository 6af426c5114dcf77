package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.ResponseHead;
import java.nio.ByteBuffer;

/** Receives the answers of a request's attempts and forwards what the caller should get. */
interface AnswerSink {
  /**
   * Starts an answer: a success, or a failure that is forwarded to the caller.
   *
   * @return false if it can't continue the answer that the caller has a part of
   */
  boolean head(ResponseHead head);

  /**
   * Adds a part of the body.
   *
   * @return false if the answer is invalid, or no memory is left for it
   */
  boolean data(ByteBuffer data);

  /** Returns whether no memory is left for the answer, until it is discarded. */
  boolean isOutOfMemory();

  /** Returns whether the caller can take more data now. */
  default boolean writable() {
    return true;
  }

  /** Called when the caller has received everything written so far. */
  default void drained() {}

  /**
   * Completes the attempt's answer.
   *
   * @return false if the answer is incomplete
   */
  boolean end();

  /**
   * Discards data of a failed attempt that was not sent to the caller, and the memory for it;
   * called at the end of the request, too.
   */
  void discard();
}
