package io.jacinthquay.bench;

import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One subcommand of {@code jq-bench}; {@link BenchMain} lists them all. */
public interface BenchCommand {
  /** Returns the name of the command on the command line. */
  String name();

  /** Returns the summary for the help text, one sentence. */
  String summary();

  /** Adds the arguments of the command to its parser. */
  void declare(Subparser parser);

  /**
   * Runs the command.
   *
   * @param arguments the parsed arguments
   * @param out receives the results
   */
  ExitCode run(Namespace arguments, PrintStream out);
}
