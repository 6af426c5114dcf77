package io.jacinthquay.runtime.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * An HTTP call with a small body.
 *
 * @param method the HTTP method
 * @param server the address of the server
 * @param path the path, including the query
 * @param headers additional headers
 * @param body the JSON body; empty for no body
 * @param timeout timeout from the start of the call to the end of the response
 * @param mayWrite condition that is evaluated right before the first byte is written; if it is
 *     false, nothing is sent
 */
public record HttpCall(
    String method,
    InetSocketAddress server,
    String path,
    List<HttpHeader> headers,
    String body,
    Duration timeout,
    BooleanSupplier mayWrite) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public HttpCall {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(path, "path");
    headers = List.copyOf(headers);
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(mayWrite, "mayWrite");
  }

  /** Returns a GET call. */
  public static HttpCall get(InetSocketAddress server, String path, Duration timeout) {
    return new HttpCall("GET", server, path, List.of(), "", timeout, () -> true);
  }

  /** Returns a POST call with a JSON body. */
  public static HttpCall post(
      InetSocketAddress server, String path, String body, Duration timeout) {
    return new HttpCall("POST", server, path, List.of(), body, timeout, () -> true);
  }

  /**
   * Returns a copy of this call with a condition that is evaluated right before the first byte is
   * written.
   */
  public HttpCall withWriteCondition(BooleanSupplier condition) {
    return new HttpCall(method, server, path, headers, body, timeout, condition);
  }

  /** Returns a copy of this call with an additional header. */
  public HttpCall withHeader(HttpHeader header) {
    List<HttpHeader> extendedHeaders = new ArrayList<>(headers);
    extendedHeaders.add(header);
    return new HttpCall(method, server, path, extendedHeaders, body, timeout, mayWrite);
  }
}
