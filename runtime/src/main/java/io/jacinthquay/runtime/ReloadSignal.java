package io.jacinthquay.runtime;

import org.apache.logging.log4j.LogManager;
import sun.misc.Signal;

/**
 * Takes SIGHUP, which tells that settings have changed, and which ends a process that does not.
 *
 * <p>All settings are read at the start, so a running program only notes it; those that may change
 * while it runs name members to begin with, and members are learned from each other later.
 */
final class ReloadSignal {
  private ReloadSignal() {}

  /** Takes the signal from now on; loads nothing else, since until then it ends the process. */
  static void handle() {
    try {
      Signal.handle(
          new Signal("HUP"),
          signal -> LogManager.getLogger().info("reload: settings hold from the next start"));
    } catch (IllegalArgumentException e) {
      LogManager.getLogger().warn("SIGHUP can't be taken: {}", e.getMessage());
    }
  }
}
