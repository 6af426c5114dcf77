package io.jacinthquay.ctl.command;

import io.jacinthquay.runtime.ExitCode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** One subcommand. */
public interface Command {
  /** Adds the subcommand and its arguments to the command line. */
  void addTo(Subparsers subparsers);

  /**
   * Runs the subcommand.
   *
   * @param args the parsed arguments
   * @param context the keepers and the printer
   */
  ExitCode run(Namespace args, Context context);
}
