package io.jacinthquay.router.adapter.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The close listeners of the requests in progress on one connection of a caller.
 *
 * <p>A connection keeps its own close listeners until it closes, so requests must not add to those.
 */
final class CloseListeners {
  private static final AttachmentKey<CloseListeners> KEY =
      AttachmentKey.create(CloseListeners.class);

  private final Set<Runnable> listeners = ConcurrentHashMap.newKeySet();

  private CloseListeners() {}

  /** Calls a listener if the connection closes before the exchange is complete. */
  static void add(HttpServerExchange exchange, Runnable listener) {
    Set<Runnable> listeners = of(exchange.getConnection()).listeners;
    listeners.add(listener);
    exchange.addExchangeCompleteListener(
        (completed, next) -> {
          listeners.remove(listener);
          next.proceed();
        });
  }

  private static CloseListeners of(ServerConnection connection) {
    CloseListeners existing = connection.getAttachment(KEY);
    if (existing != null) {
      return existing;
    }
    CloseListeners created = new CloseListeners();
    connection.putAttachment(KEY, created);
    connection.addCloseListener(closed -> created.listeners.forEach(Runnable::run));
    return created;
  }
}
