package io.jacinthquay.router.adapter.http;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;

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

  void close() {
    IoUtils.safeClose(http);
  }
}
