package io.jacinthquay.bench;

import io.jacinthquay.bench.capacity.CapacityCommand;
import io.jacinthquay.bench.capacity.QuarantineCommand;
import io.jacinthquay.bench.capacity.StateCommand;
import io.jacinthquay.bench.experiment.DecideCommand;
import io.jacinthquay.bench.experiment.RunCommand;
import io.jacinthquay.bench.keeper.KeeperCommand;
import io.jacinthquay.bench.membership.MembershipCommand;
import io.jacinthquay.bench.overhead.OverheadCommand;
import io.jacinthquay.bench.report.PlotCommand;
import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The program {@code jq-bench}: experiments, the load tool and benchmarks. */
public final class BenchMain {
  private static final String COMMAND = "command";

  private static final List<BenchCommand> COMMANDS =
      List.of(
          new RunCommand(),
          new DecideCommand(),
          new PlotCommand(),
          new MembershipCommand(),
          new KeeperCommand(),
          new OverheadCommand(),
          new StateCommand(),
          new QuarantineCommand(),
          new CapacityCommand());

  private BenchMain() {}

  /** Runs the command that the arguments name and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args, COMMANDS, System.out, System.err).number());
  }

  /**
   * Runs one command.
   *
   * @param args the command line
   * @param commands the commands to choose from
   * @param out receives the results
   * @param err receives messages about invalid arguments
   */
  static ExitCode run(
      String[] args, List<BenchCommand> commands, PrintStream out, PrintStream err) {
    ArgumentParser parser =
        ArgumentParsers.newFor("jq-bench")
            .build()
            .description("Experiments, the load tool and benchmarks.");
    Subparsers subparsers = parser.addSubparsers().metavar("command");
    for (BenchCommand command : commands) {
      Subparser subparser = subparsers.addParser(command.name()).help(command.summary());
      subparser.setDefault(COMMAND, command);
      command.declare(subparser);
    }
    try {
      Namespace namespace = parser.parseArgs(args);
      return namespace.<BenchCommand>get(COMMAND).run(namespace, out);
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      err.println(e.getMessage());
      err.print(parser.formatUsage());
      return ExitCode.SETTINGS_INVALID;
    }
  }
}
