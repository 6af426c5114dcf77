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

/** A caller of the router that hears an answer piece by piece. */
final class DemoCaller implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final InetSocketAddress router;
  private final JsonHttpClient http = new JsonHttpClient("caller");

  DemoCaller(InetSocketAddress router) {
    this.router = router;
    http.start();
  }

  /** What to ask for; an empty class stands for the customer's default. */
  record Question(
      String method, String target, Optional<String> key, String className, String body) {
    static Question chat(String key, String className, boolean stream, String text) {
      String body =
          "{\"model\":\"mender-8b\",\"max_tokens\":24,\"stream\":"
              + stream
              + ",\"messages\":[{\"role\":\"user\",\"content\":\""
              + text
              + "\"}]}";
      return new Question("POST", "/v1/chat/completions", Optional.of(key), className, body);
    }

    static Question read(String target, String key) {
      return new Question("GET", target, Optional.of(key), "", "");
    }
  }

  /**
   * Asks and waits for the whole answer.
   *
   * @param pieces hears each piece of the body as it arrives
   * @throws IllegalStateException if no whole answer came
   */
  HttpResponse ask(Question question, Consumer<String> pieces) {
    HttpCall call =
        new HttpCall(
            question.method(),
            router,
            question.target(),
            headers(question),
            question.body(),
            TIMEOUT,
            () -> true);
    return http.call(call, pieces)
        .getOrElseThrow(failure -> new IllegalStateException(failure.toString()));
  }

  private static List<HttpHeader> headers(Question question) {
    List<HttpHeader> headers = new ArrayList<>();
    question.key().ifPresent(key -> headers.add(new HttpHeader("authorization", "Bearer " + key)));
    if (!question.className().isEmpty()) {
      headers.add(new HttpHeader("x-jq-class", question.className()));
    }
    return headers;
  }

  @Override
  public void close() {
    http.stop();
  }
}
