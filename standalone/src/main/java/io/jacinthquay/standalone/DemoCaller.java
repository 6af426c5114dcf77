package io.jacinthquay.standalone;

import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.HttpHeader;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.runtime.http.JsonHttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A caller of the router that receives each response in chunks. */
final class DemoCaller implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final InetSocketAddress router;
  private final JsonHttpClient http = new JsonHttpClient("caller");

  DemoCaller(InetSocketAddress router) {
    this.router = router;
    http.start();
  }

  /** A request; an empty class name selects the customer's default class. */
  record DemoRequest(
      String method, String target, Optional<String> key, String className, String body) {
    static DemoRequest chat(String key, String className, boolean stream, String text) {
      String body =
          "{\"model\":\"mender-8b\",\"max_tokens\":24,\"stream\":"
              + stream
              + ",\"messages\":[{\"role\":\"user\",\"content\":\""
              + text
              + "\"}]}";
      return new DemoRequest("POST", "/v1/chat/completions", Optional.of(key), className, body);
    }

    static DemoRequest get(String target, String key) {
      return new DemoRequest("GET", target, Optional.of(key), "", "");
    }
  }

  /**
   * Sends a request and waits for the complete response.
   *
   * @param chunks receives each chunk of the body as it arrives
   * @throws IllegalStateException if no complete response arrives
   */
  HttpResponse send(DemoRequest request, Consumer<String> chunks) {
    HttpCall call =
        new HttpCall(
            request.method(),
            router,
            request.target(),
            headers(request),
            request.body(),
            TIMEOUT,
            () -> true);
    return http.call(call, chunks)
        .getOrElseThrow(failure -> new IllegalStateException(failure.toString()));
  }

  private static List<HttpHeader> headers(DemoRequest request) {
    List<HttpHeader> headers = new ArrayList<>();
    request.key().ifPresent(key -> headers.add(new HttpHeader("authorization", "Bearer " + key)));
    if (!request.className().isEmpty()) {
      headers.add(new HttpHeader("x-jq-class", request.className()));
    }
    return headers;
  }

  @Override
  public void close() {
    http.stop();
  }
}
