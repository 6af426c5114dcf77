package io.jacinthquay.router.adapter.http;

import io.jacinthquay.runtime.http.ClientConnections;
import io.undertow.client.ClientConnection;

/**
 * A connection to an upstream.
 *
 * @param http the connection of the HTTP client
 * @param source limits the bytes that are read
 */
record UpstreamConnection(ClientConnection http, BoundedSource source) {
  boolean isOpen() {
    return http.isOpen();
  }

  /** Closes the connection at once, so that the upstream stops working on its request. */
  void close() {
    ClientConnections.close(http);
  }
}
