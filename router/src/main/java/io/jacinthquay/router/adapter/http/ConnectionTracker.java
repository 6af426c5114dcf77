package io.jacinthquay.router.adapter.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/**
 * Knows which callers' connections carry a request and which don't, so that a planned stop waits
 * for the ones and closes the others.
 */
final class IdleConnections {
  private final Set<ServerConnection> idle = ConcurrentHashMap.newKeySet();
  private final Set<ServerConnection> busy = ConcurrentHashMap.newKeySet();
  private volatile boolean leaving;

  /** A request begins on its connection. */
  void begins(HttpServerExchange exchange) {
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
        (ended, next) -> {
          busy.remove(connection);
          if (connection.isOpen()) {
            idle.add(connection);
          }
          next.proceed();
        });
  }

  /** Returns how many requests have begun and are not answered yet, also those still being read. */
  int busy() {
    return busy.size();
  }

  /** Returns whether connections are to be closed after the answer that they carry. */
  boolean isLeaving() {
    return leaving;
  }

  /** Closes connections from now on once they carry no request. */
  void leave() {
    leaving = true;
    new ArrayList<>(idle).forEach(IoUtils::safeClose);
  }
}
