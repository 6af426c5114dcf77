package io.jacinthquay.runtime;

import org.apache.logging.log4j.LogManager;
import sun.misc.Signal;

/**
 * Handles SIGHUP, which operators send after a change of settings.
 *
 * <p>Without a handler the signal terminates the process. Settings are read only at startup, so the
 * handler just logs the signal. Programs that need the current list of initial members read it
 * themselves, since it may change without a signal too.
 */
final class SighupHandler {
  private SighupHandler() {}

  /**
   * Installs the handler. Runs first and loads no other classes, because SIGHUP terminates the
   * process until the handler is installed.
   */
  static void install() {
    try {
      Signal.handle(
          new Signal("HUP"),
          signal ->
              LogManager.getLogger()
                  .info("received SIGHUP; changed settings take effect at the next start"));
    } catch (IllegalArgumentException e) {
      LogManager.getLogger().warn("cannot install a handler for SIGHUP: {}", e.getMessage());
    }
  }
}
