package io.jacinthquay.ctl.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.jacinthquay.ctl.output.Printer;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.client.KeeperCall;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ContextTest {
  private static final PrintStream DISCARDED =
      new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);

  private static final Context.Keepers UNREACHABLE_KEEPERS =
      new Context.Keepers() {
        @Override
        public <T> Either<Failure, T> call(KeeperCall<T> call) {
          return Either.left(Failure.of(ResultCode.NO_QUORUM));
        }
      };

  private final Context context =
      new Context(UNREACHABLE_KEEPERS, new Printer(DISCARDED, DISCARDED, false));

  /**
   * After a rejection an operator issues another key or change, so a failure whose change may be in
   * force must not be reported as a rejection.
   */
  @ParameterizedTest
  @EnumSource(ResultCode.class)
  void onlyFailuresWithoutEffectAreReportedAsRejected(ResultCode code) {
    ExitCode exitCode = context.fail(Failure.of(code));
    if (code.outcome() == Outcome.NOT_RUN) {
      assertNotEquals(ExitCode.UNKNOWN, exitCode);
    } else {
      assertEquals(ExitCode.UNKNOWN, exitCode);
    }
  }
}
