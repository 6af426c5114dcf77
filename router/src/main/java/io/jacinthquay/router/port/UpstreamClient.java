package io.jacinthquay.router.port;

/** Sends requests to upstreams. */
public interface UpstreamClient {
  /**
   * Sends a request; must be called on an I/O thread, on which the listener is called too.
   *
   * @return the call in progress
   */
  UpstreamCall send(UpstreamRequest request, UpstreamListener listener);
}
