package io.jacinthquay.router.adapter.http;

import io.jacinthquay.runtime.http.ClientConnections;
import io.undertow.client.ClientConnection;

/**
 * A connection to an upstream.
 *
 * @param http sends requests
 * @param source bounds what is read
 */
record UpstreamConnection(ClientConnection http, BoundedSource source) {
  boolean isOpen() {
    return http.isOpen();
  }

  /** Ends the connection at once, so that the upstream stops what it does for it. */
  void close() {
    ClientConnections.close(http);
  }
}
