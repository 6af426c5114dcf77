package io.jacinthquay.keeper.state;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandFailure;

/** Creates answers that carry only success or a failure. */
final class CommandAnswers {
  private CommandAnswers() {}

  static CommandAnswer done() {
    return CommandAnswer.done(true);
  }

  static CommandAnswer failure(Failure failure) {
    return CommandAnswer.failure(new CommandFailure(failure.code().number(), failure.detail()));
  }

  static CommandAnswer failure(ResultCode code, String detail) {
    return failure(Failure.of(code, detail));
  }

  static CommandAnswer failure(ResultCode code) {
    return failure(Failure.of(code));
  }
}
