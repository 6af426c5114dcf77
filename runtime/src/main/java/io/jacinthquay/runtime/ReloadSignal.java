package io.jacinthquay.runtime;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/**
 * Takes SIGHUP, which tells that settings have changed, and which ends a process that does not.
 *
 * <p>All settings are read at the start, so a running program only notes it; those that may change
 * while it runs name members to begin with, and members are learned from each other later.
 */
final class ReloadSignal {
  private static final Logger log = LogManager.getLogger();

  private ReloadSignal() {}

  static void handle() {
    try {
      Signal.handle(
          new Signal("HUP"), signal -> log.info("reload: settings hold from the next start"));
    } catch (IllegalArgumentException e) {
      log.warn("SIGHUP can't be taken: {}", e.getMessage());
    }
  }
}
