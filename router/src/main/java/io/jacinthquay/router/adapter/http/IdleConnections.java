package io.jacinthquay.router.adapter.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/** Knows which callers' connections carry no request, so that a planned stop can close these. */
final class IdleConnections {
  private final Set<ServerConnection> idle = ConcurrentHashMap.newKeySet();
  private volatile boolean leaving;

  /** A request begins on its connection. */
  void begins(HttpServerExchange exchange) {
    ServerConnection connection = exchange.getConnection();
    if (!idle.remove(connection)) {
      connection.addCloseListener(idle::remove);
    }
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          if (connection.isOpen()) {
            idle.add(connection);
          }
          next.proceed();
        });
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
