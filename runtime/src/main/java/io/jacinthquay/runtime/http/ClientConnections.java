package io.jacinthquay.runtime.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Closes connections of Undertow's HTTP client immediately.
 *
 * <p>{@link ClientConnection#close()} keeps a connection open for up to ten seconds while a
 * response is pending, and reads and discards what arrives. A server that processes a call until
 * the connection is closed would keep processing it for that time.
 */
public final class ClientConnections {
  private static final Logger log = LogManager.getLogger();

  private ClientConnections() {}

  /**
   * Closes a connection. A call in progress on it fails.
   *
   * @param connection the connection, which may be closed already
   */
  public static void close(ClientConnection connection) {
    try {
      // Undertow exposes the underlying transport only through an upgrade.
      IoUtils.safeClose(connection.performUpgrade());
    } catch (IOException e) {
      log.debug("the connection was already closed: {}", e.getMessage());
    }
  }

  /**
   * Resets a connection, which discards data that was written but not yet delivered.
   *
   * @param connection the connection, which may be closed already
   */
  public static void reset(ClientConnection connection) {
    try {
      connection.setOption(Options.CLOSE_ABORT, true);
    } catch (IOException e) {
      log.debug("the connection was closed before the reset: {}", e.getMessage());
    }
    close(connection);
  }
}
