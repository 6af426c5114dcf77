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
 * What a subcommand works with.
 *
 * @param keepers calls the keepers; opens connections only when used
 * @param printer prints results and errors
 */
public record Context(Keepers keepers, Printer printer) {
  /** Checks that both parts are present. */
  public Context {
    Objects.requireNonNull(keepers, "keepers");
    Objects.requireNonNull(printer, "printer");
  }

  /** Calls the keepers. */
  @FunctionalInterface
  public interface Keepers {
    /** Makes a call and returns its answer or failure. */
    <T> Either<Failure, T> call(KeeperCall<T> call);
  }

  /** Prints a failure and returns the exit code that goes with it. */
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
