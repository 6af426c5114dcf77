package io.jacinthquay.keeper;

import io.jacinthquay.runtime.Program;

/** Entry point of {@code jq-keeper}. */
public final class KeeperMain {
  private KeeperMain() {}

  /**
   * Runs a keeper until the process is asked to stop, and exits with an exit code.
   *
   * @param args the command line arguments
   */
  public static void main(String[] args) {
    System.exit(
        Program.run(
                KeeperSettings.PARSER,
                args,
                settings -> new KeeperService(KeeperSettings.options(settings)))
            .number());
  }
}
