package io.jacinthquay.router.port;

import io.jacinthquay.model.RequestId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * A request as an upstream sees it.
 *
 * @param id the request, sent as {@code x-request-id}
 * @param address the upstream
 * @param method HTTP method
 * @param target path and query
 * @param headers the headers that pass, without {@code x-request-id}, host and framing
 * @param body the whole body
 * @param idempotent whether a connection may be used that was idle for long
 * @param echoRequired whether the answer must name the request
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
   * @throws NullPointerException if a part is missing
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
