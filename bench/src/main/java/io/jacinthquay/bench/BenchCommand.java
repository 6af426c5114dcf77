package io.jacinthquay.bench;

import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One subcommand of {@code jq-bench}; {@link BenchMain} lists them all. */
public interface BenchCommand {
  /** Returns the word that selects the command. */
  String name();

  /** Returns one sentence for the help text. */
  String summary();

  /** Declares the arguments. */
  void declare(Subparser parser);

  /**
   * Runs the command.
   *
   * @param arguments the parsed arguments
   * @param out receives the results
   */
  ExitCode run(Namespace arguments, PrintStream out);
}
