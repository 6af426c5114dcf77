package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.ResponseHead;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Relays the answer of a request to its caller, over one or more attempts. */
interface AnswerRelay {
  /** Resets the state of the previous attempt, because a new one begins. */
  void beginAttempt();

  /** Handles the head of the upstream's answer; a returned failure ends the attempt. */
  Optional<ResultCode> onHead(ResponseHead head);

  /** Handles a part of the answer's body; a returned failure ends the attempt. */
  Optional<ResultCode> onData(ByteBuffer data);

  /** Handles the end of the answer; returns a failure if the answer is incomplete. */
  Optional<ResultCode> onEnd();

  /** Returns whether the answer is complete, even if the upstream has not closed it yet. */
  default boolean complete() {
    return false;
  }

  /** Returns whether more data can be written to the caller now. */
  boolean writable();

  /** Called when the caller's connection has accepted everything written so far. */
  void onDrained();

  /** Returns whether the arrival of the first data is the time of the first token. */
  default boolean timesFirstToken() {
    return true;
  }

  /** Returns whether any byte of the answer was sent to the caller. */
  boolean hasStarted();

  /** Returns the part of a streamed answer that was sent to the caller. */
  DeliveredOutput delivered();

  /** Returns whether a started answer can be resumed on another upstream. */
  default boolean resumable() {
    return false;
  }

  /** Terminates an answer that has started, so that the caller sees that it is incomplete. */
  void abort(Failure failure, Outcome outcome);

  /** Returns the tokens to bill. */
  Usage usage();

  /**
   * The tokens to bill for a request.
   *
   * @param inputTokens prompt tokens; negative if the upstream did not report them
   * @param outputTokens tokens that were sent to the caller
   */
  record Usage(long inputTokens, long outputTokens) {
    /** No usage. */
    static final Usage NONE = new Usage(-1, 0);
  }
}
