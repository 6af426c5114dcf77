package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Small blocking reads of the platform and of engines. */
public final class JsonHttp implements AutoCloseable {
  private final JsonHttpClient client = new JsonHttpClient("json-http");
  private final Duration timeout;

  /**
   * Returns a client.
   *
   * @param timeout limit for one call
   * @throws IllegalStateException if no I/O thread can be started
   */
  public JsonHttp(Duration timeout) {
    this.timeout = timeout;
    client.start();
  }

  /**
   * Gets a page.
   *
   * @param address where the server listens
   * @param target path and query
   * @return the body
   * @throws IOException if no answer of success came in time
   */
  public String get(InetSocketAddress address, String target) throws IOException {
    Either<Failure, HttpResponse> answer = client.call(HttpCall.get(address, target, timeout));
    if (answer.isLeft()) {
      throw new IOException(answer.getLeft().detail());
    }
    if (!answer.get().isSuccess()) {
      throw new IOException("the answer has status " + answer.get().status());
    }
    return answer.get().body();
  }

  @Override
  public void close() {
    client.stop();
  }
}
