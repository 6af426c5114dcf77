package io.jacinthquay.router.port;

/** Sends requests to upstreams. */
public interface UpstreamClient {
  /**
   * Sends a request; must be called on an I/O thread, which also calls the listener.
   *
   * @return the call in progress
   */
  UpstreamCall send(UpstreamRequest request, UpstreamListener listener);
}
