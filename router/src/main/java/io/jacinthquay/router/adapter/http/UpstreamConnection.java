package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.RequestId;
import io.jacinthquay.runtime.http.BoundedSource;
import io.jacinthquay.runtime.http.ClientConnections;
import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A connection to an upstream.
 *
 * <p>It remembers the last requests. A request that is sent to the same address once more, for
 * another upstream there, must not use it: the response to the earlier send names the same request,
 * so a second copy of it would pass as the response to the later one.
 */
final class UpstreamConnection {
  /** Number of requests that are remembered; a request is sent again within milliseconds. */
  private static final int MAX_REMEMBERED = 8;

  private final ClientConnection http;
  private final BoundedSource source;
  private final Deque<RequestId> requests = new ArrayDeque<>();

  /**
   * Returns a connection that has carried no request.
   *
   * @param http the connection of the HTTP client
   * @param source limits the bytes that are read
   */
  UpstreamConnection(ClientConnection http, BoundedSource source) {
    this.http = http;
    this.source = source;
  }

  ClientConnection http() {
    return http;
  }

  BoundedSource source() {
    return source;
  }

  /** Records that a request is about to be sent. */
  void recordRequest(RequestId id) {
    if (requests.size() >= MAX_REMEMBERED) {
      requests.removeFirst();
    }
    requests.addLast(id);
  }

  /** Returns whether a request is among the last ones. */
  boolean hasCarried(RequestId id) {
    return requests.contains(id);
  }

  boolean isOpen() {
    return http.isOpen();
  }

  /** Closes the connection at once, so that the upstream stops working on its request. */
  void close() {
    ClientConnections.close(http);
  }
}
