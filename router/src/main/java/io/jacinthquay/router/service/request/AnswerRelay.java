package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.AnswerHead;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Carries the answer of a request to its caller, over one attempt or several. */
interface AnswerRelay {
  /** An attempt begins. */
  void attempt();

  /** The head of an upstream's answer arrived; a failure ends the attempt. */
  Optional<ResultCode> head(AnswerHead head);

  /** A part of the body arrived; a failure ends the attempt. */
  Optional<ResultCode> data(ByteBuffer data);

  /** The upstream ended its answer; a failure means that the answer is not whole. */
  Optional<ResultCode> end();

  /** Returns whether the whole answer is there although the upstream has not ended it. */
  default boolean complete() {
    return false;
  }

  /** Returns whether the caller takes more now. */
  boolean writable();

  /** The caller took everything written so far. */
  void drained();

  /** Returns whether the first data of an answer tells when its first token came. */
  default boolean timesFirstToken() {
    return true;
  }

  /** Returns whether any byte of the answer was passed on. */
  boolean started();

  /** Returns what was passed on of a streamed answer. */
  Delivered delivered();

  /** Returns whether an answer that has started can be continued on another upstream. */
  default boolean resumable() {
    return false;
  }

  /** Tells the caller within an answer that has started that no more follows. */
  void breakOff(Failure failure, Outcome outcome);

  /** Returns what is to be billed. */
  Usage usage();

  /**
   * What is to be billed.
   *
   * @param inputTokens prompt tokens; negative if the upstream told none
   * @param outputTokens tokens that the caller was given
   */
  record Usage(long inputTokens, long outputTokens) {
    /** Nothing. */
    static final Usage NONE = new Usage(-1, 0);
  }
}
