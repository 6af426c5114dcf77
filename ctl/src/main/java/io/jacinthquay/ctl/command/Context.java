package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Printer;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.client.KeeperCall;
import io.vavr.control.Either;
import java.util.Objects;

/**
 * The keepers and the printer that a subcommand uses.
 *
 * @param keepers calls the keepers; connects on the first call
 * @param printer prints results and errors
 */
public record Context(Keepers keepers, Printer printer) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Context {
    Objects.requireNonNull(keepers, "keepers");
    Objects.requireNonNull(printer, "printer");
  }

  /** Calls the keepers. */
  @FunctionalInterface
  public interface Keepers {
    /** Makes a call and returns its result or a failure. */
    <T> Either<Failure, T> call(KeeperCall<T> call);
  }

  /**
   * Prints a failure and returns its exit code.
   *
   * @return {@link ExitCode#UNKNOWN} if the call may have had an effect
   */
  ExitCode fail(Failure failure) {
    printer.error(failure);
    if (failure.code().outcome() != Outcome.NOT_RUN) {
      return ExitCode.UNKNOWN;
    }
    return failure.code() == ResultCode.SETTINGS_INVALID
        ? ExitCode.SETTINGS_INVALID
        : ExitCode.REFUSED;
  }
}
