package io.jacinthquay.ctl.command;

import io.jacinthquay.runtime.ExitCode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A subcommand of {@code jqctl}. */
public interface Command {
  /** Adds the subcommand and its arguments to the command-line parser. */
  void addTo(Subparsers subparsers);

  /**
   * Runs the subcommand.
   *
   * @param args the parsed arguments
   * @param context the keepers and the printer
   * @return the exit code of the program
   */
  ExitCode run(Namespace args, Context context);
}
