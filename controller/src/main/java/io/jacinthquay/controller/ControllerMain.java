package io.jacinthquay.controller;

import io.jacinthquay.runtime.Program;

/** Entry point of {@code jq-controller}. */
public final class ControllerMain {
  private ControllerMain() {}

  /**
   * Runs a controller until it is stopped.
   *
   * @param args the command line; {@code --help} lists the flags
   */
  public static void main(String[] args) {
    System.exit(
        Program.run(
                ControllerSettings.parser(),
                args,
                settings -> new ControllerService(ControllerSettings.from(settings)))
            .number());
  }
}
