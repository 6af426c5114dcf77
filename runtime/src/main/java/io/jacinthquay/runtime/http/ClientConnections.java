package io.jacinthquay.runtime.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Ends connections of Undertow's HTTP client at once.
 *
 * <p>{@link ClientConnection#close()} leaves a connection open for up to ten seconds while an
 * answer is due, and reads and drops what still arrives. A server that works on a call until its
 * connection ends would go on for all that time.
 */
public final class ClientConnections {
  private static final Logger log = LogManager.getLogger();

  private ClientConnections() {}

  /**
   * Closes a connection; a call that is in progress on it fails.
   *
   * @param connection may be closed already
   */
  public static void close(ClientConnection connection) {
    try {
      // Taking the transport over is the library's only way to reach it.
      IoUtils.safeClose(connection.performUpgrade());
    } catch (IOException e) {
      log.debug("a connection was closed before: {}", e.getMessage());
    }
  }

  /**
   * Closes a connection and drops what was written but has not arrived yet.
   *
   * @param connection may be closed already
   */
  public static void reset(ClientConnection connection) {
    try {
      connection.setOption(Options.CLOSE_ABORT, true);
    } catch (IOException e) {
      log.debug("a connection was closed before it could be reset: {}", e.getMessage());
    }
    close(connection);
  }
}
