package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.AnswerHead;
import java.nio.ByteBuffer;

/** Takes the answers of a request's attempts and passes on what the caller should get. */
interface AnswerSink {
  /** An attempt answers with success, or with a failure that the caller should hear. */
  void head(AnswerHead head);

  /**
   * Takes a part of the body.
   *
   * @return false if the answer is spoilt
   */
  boolean data(ByteBuffer data);

  /** Returns whether the caller takes more now. */
  default boolean writable() {
    return true;
  }

  /** The caller took everything written so far. */
  default void drained() {}

  /**
   * The attempt's answer is whole.
   *
   * @return false if it can't be whole
   */
  boolean end();

  /** Forgets what an attempt that failed left behind and the caller did not get. */
  void discard();
}
