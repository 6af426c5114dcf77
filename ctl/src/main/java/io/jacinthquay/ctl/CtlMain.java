package io.jacinthquay.ctl;

import io.jacinthquay.ctl.command.Command;
import io.jacinthquay.ctl.command.CommandLine;
import io.jacinthquay.ctl.command.Context;
import io.jacinthquay.ctl.output.Printer;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import java.util.Map;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Entry point of {@code jqctl}. */
public final class CtlMain {
  private CtlMain() {}

  /**
   * Runs one subcommand and exits with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(run(args, System.getenv(), System.out, System.err).number());
  }

  /**
   * Runs one subcommand.
   *
   * @param args the command line
   * @param environment the environment variables, which flags override
   * @param out receives results
   * @param err receives errors
   * @return the exit code
   */
  public static ExitCode run(
      String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
    ArgumentParser parser = CommandLine.parser(environment);
    Namespace parsed;
    try {
      parsed = parser.parseArgs(args);
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      err.println(ResultCode.SETTINGS_INVALID.number() + " " + e.getMessage());
      return ExitCode.SETTINGS_INVALID;
    }
    Printer printer = new Printer(out, err, parsed.getBoolean(CommandLine.JSON));
    Command command = parsed.get(CommandLine.COMMAND);
    if (command == null) {
      printer.error(Failure.of(ResultCode.SETTINGS_INVALID, "a subcommand is missing"));
      return ExitCode.SETTINGS_INVALID;
    }
    try (LazyKeeperClient keepers = new LazyKeeperClient(parsed)) {
      return command.run(parsed, new Context(keepers, printer));
    }
  }
}
