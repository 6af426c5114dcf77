package io.jacinthquay.router.port;

import io.jacinthquay.model.RequestId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * A request to an upstream.
 *
 * @param id the id of the request, sent as {@code x-request-id}
 * @param address the address of the upstream
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers to send, without {@code x-request-id}, host and framing
 * @param body the complete body
 * @param idempotent whether the request may be sent on a connection that was idle for long
 * @param echoRequired whether the response must echo the id of the request
 */
@SuppressWarnings("ArrayRecordComponent")
public record UpstreamRequest(
    RequestId id,
    InetSocketAddress address,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    boolean idempotent,
    boolean echoRequired) {
  /**
   * Copies the headers.
   *
   * @throws NullPointerException if a component is null
   */
  public UpstreamRequest {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(body, "body");
    headers = List.copyOf(headers);
  }
}
