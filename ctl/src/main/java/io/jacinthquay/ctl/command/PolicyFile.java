package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Printer;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.PolicyDocument;
import io.jacinthquay.model.policy.PolicyError;
import io.jacinthquay.model.policy.PolicyParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads a policy document and prints all of its errors. */
final class PolicyFile {
  private PolicyFile() {}

  static Optional<PolicyDocument> read(String file, Printer printer) {
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException e) {
      printer.error(Failure.of(ResultCode.CONFIG_INVALID, "cannot read " + e.getMessage()));
      return Optional.empty();
    }
    return PolicyParser.parse(text)
        .peekLeft(errors -> errors.forEach(error -> print(file, error, printer)))
        .toJavaOptional();
  }

  private static void print(String file, PolicyError error, Printer printer) {
    String location = file + ":" + error.line() + ":" + error.column() + ": " + error.path();
    printer.error(Failure.of(ResultCode.CONFIG_INVALID, location + ": " + error.message()));
  }
}
