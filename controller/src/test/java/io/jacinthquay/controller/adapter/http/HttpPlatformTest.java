package io.jacinthquay.controller.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class HttpPlatformTest {
  private static final Duration LONG = Duration.ofSeconds(20);
  private static final int NO_BODY = -1;

  private final JsonHttpClient http = new JsonHttpClient("test");
  private HttpServer server;
  private int status;

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          exchange.sendResponseHeaders(status, NO_BODY);
          exchange.close();
        });
    server.start();
    http.start();
  }

  @AfterEach
  void stop() {
    http.stop();
    server.stop(0);
  }

  /** An order that counts as refused is never sent again, and must never be carried out. */
  @ParameterizedTest
  @CsvSource({
    "400, NOT_RUN",
    "404, NOT_RUN",
    "409, NOT_RUN",
    "429, NOT_RUN",
    "408, UNKNOWN",
    "500, UNKNOWN",
    "502, UNKNOWN",
    "503, UNKNOWN",
    "504, UNKNOWN",
  })
  void takeNoFailureOfThePlatformForARefusal(int answered, Outcome outcome) {
    status = answered;
    FencingToken fencing = new FencingToken(7);
    Order order =
        new Order("o1", new LeaseName("capacity/a"), fencing, new DomainId("a"), "{\"n\":1}");
    HttpPlatform platform = new HttpPlatform(server.getAddress(), http);
    Either<Failure, String> answer = platform.order(order, fencing, LONG, () -> true);
    assertEquals(outcome, answer.getLeft().code().outcome());
  }
}
