package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** A blocking HTTP client that reads small JSON documents from the platform and from engines. */
public final class JsonHttp implements AutoCloseable {
  private final JsonHttpClient client = new JsonHttpClient("json-http");
  private final Duration timeout;

  /**
   * Returns a client.
   *
   * @param timeout time limit of one call
   * @throws IllegalStateException if no I/O thread can be started
   */
  public JsonHttp(Duration timeout) {
    this.timeout = timeout;
    client.start();
  }

  /**
   * Gets a document.
   *
   * @param address the address of the server
   * @param target the path and query
   * @return the response body
   * @throws IOException if there is no successful response in time
   */
  public String get(InetSocketAddress address, String target) throws IOException {
    Either<Failure, HttpResponse> response = client.call(HttpCall.get(address, target, timeout));
    if (response.isLeft()) {
      throw new IOException(response.getLeft().detail());
    }
    if (!response.get().isSuccess()) {
      throw new IOException("the response has status " + response.get().status());
    }
    return response.get().body();
  }

  @Override
  public void close() {
    client.stop();
  }
}
