package io.jacinthquay.router.adapter.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/**
 * Tracks which callers' connections carry a request and which are idle, so that a planned stop
 * waits for the former and closes the latter.
 */
final class ConnectionTracker {
  private final Set<ServerConnection> idle = ConcurrentHashMap.newKeySet();
  private final Set<ServerConnection> busy = ConcurrentHashMap.newKeySet();
  private volatile boolean draining;

  /** Marks the connection of a request as busy until the exchange is complete. */
  void requestStarted(HttpServerExchange exchange) {
    ServerConnection connection = exchange.getConnection();
    if (!idle.remove(connection)) {
      connection.addCloseListener(
          closed -> {
            idle.remove(closed);
            busy.remove(closed);
          });
    }
    busy.add(connection);
    exchange.addExchangeCompleteListener(
        (completed, next) -> {
          busy.remove(connection);
          if (connection.isOpen()) {
            idle.add(connection);
          }
          next.proceed();
        });
  }

  /** Returns the number of requests in flight, including those still being read. */
  int busyCount() {
    return busy.size();
  }

  /** Returns whether connections are to be closed after their current response. */
  boolean isDraining() {
    return draining;
  }

  /** Closes idle connections now; from now on others are to be closed after their response. */
  void drain() {
    draining = true;
    new ArrayList<>(idle).forEach(IoUtils::safeClose);
  }
}
