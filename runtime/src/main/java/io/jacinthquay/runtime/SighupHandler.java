package io.jacinthquay.runtime;

import org.apache.logging.log4j.LogManager;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP, which operators send after a change of settings.
 *
 * <p>Without a handler the signal terminates the process. Settings are read only at startup, so the
 * handler just logs the signal. Programs that need the current list of initial members read it
 * themselves, since it may change without a signal too.
 */
public final class SighupHandler implements SignalHandler {
  private SighupHandler() {}

  /**
   * Installs the handler. A program calls it before anything else, because SIGHUP terminates the
   * process until the handler is installed. Neither logging nor a lambda is set up for it.
   */
  public static void install() {
    try {
      Signal.handle(new Signal("HUP"), new SighupHandler());
    } catch (IllegalArgumentException e) {
      LogManager.getLogger().warn("cannot install a handler for SIGHUP: {}", e.getMessage());
    }
  }

  @Override
  public void handle(Signal signal) {
    LogManager.getLogger().info("received SIGHUP; changed settings take effect at the next start");
  }
}
