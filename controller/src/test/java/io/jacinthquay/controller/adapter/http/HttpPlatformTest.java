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
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
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

  /**
   * A rejected order is never sent again, so a call that may still take effect isn't a rejection.
   */
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
  void serverErrorsAndRequestTimeoutsLeaveTheOutcomeUnknown(int responseStatus, Outcome outcome) {
    status = responseStatus;
    FencingToken fencing = new FencingToken(7);
    Order order =
        new Order("o1", new LeaseName("capacity/a"), fencing, new DomainId("a"), "{\"n\":1}");
    HttpPlatform platform = new HttpPlatform(server.getAddress(), http);
    Either<Failure, String> result = platform.sendOrder(order, fencing, TIMEOUT, () -> true);
    assertEquals(outcome, result.getLeft().code().outcome());
  }
}
