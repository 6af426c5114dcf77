package io.jacinthquay.runtime.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * One call with a small body.
 *
 * @param method the HTTP method
 * @param server the server
 * @param path the path with its query
 * @param headers further headers
 * @param body the JSON body; empty for none
 * @param timeout limit from the start of the call to the end of the answer
 * @param mayWrite asked right before the first byte is written; if it says no, nothing is sent
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

  /** Returns a call that reads. */
  public static HttpCall read(InetSocketAddress server, String path, Duration timeout) {
    return new HttpCall("GET", server, path, List.of(), "", timeout, () -> true);
  }

  /** Returns a call that posts a body. */
  public static HttpCall post(
      InetSocketAddress server, String path, String body, Duration timeout) {
    return new HttpCall("POST", server, path, List.of(), body, timeout, () -> true);
  }

  /** Returns this call with a condition that is checked right before the first byte. */
  public HttpCall onlyWhile(BooleanSupplier condition) {
    return new HttpCall(method, server, path, headers, body, timeout, condition);
  }

  /** Returns this call with a further header. */
  public HttpCall with(HttpHeader header) {
    List<HttpHeader> more = new ArrayList<>(headers);
    more.add(header);
    return new HttpCall(method, server, path, more, body, timeout, mayWrite);
  }
}
