package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sends malformed, oversized and slow input and checks that other callers are still served. */
class BadInputTest {
  private static final int MAX_CONNECTIONS = 40;
  private static RouterFixture fixture;

  @BeforeAll
  @BeforeContainer
  static void start() {
    ListenerLimits limits =
        new ListenerLimits(4_096, 100_000, 1_000_000, MAX_CONNECTIONS, 500, 500, 10_000);
    fixture = new RouterFixture(options -> options.withLimits(limits));
  }

  @AfterAll
  @AfterContainer
  static void stop() {
    fixture.close();
  }

  private static Response call(String request) throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      return caller.call(request);
    }
  }

  private static void assertServesRequests() throws IOException {
    assertEquals(
        200,
        call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM)).status());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          {"model":"none"}                              | MODEL_UNKNOWN
          {"model":"mender"                             | MALFORMED_JSON
          {"model":"mender"} {}                         | MALFORMED_JSON
          {"model":"mender","model":"other"}            | MALFORMED_JSON
          {"model":"mender","stream":"yes"}             | MALFORMED_JSON
          {"model":"mender","max_tokens":-1}            | MALFORMED_JSON
          {"messages":[]}                               | MALFORMED_JSON
          [1]                                           | MALFORMED_JSON
          x                                             | MALFORMED_JSON
          """)
  void rejectsInvalidBodies(String body, ResultCode code) throws IOException {
    Response response = call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, body));
    assertEquals(code.number(), response.code(), response.body());
    assertEquals(code.httpStatus(), response.status());
    assertEquals("not-run", response.header("x-jq-outcome"));
  }

  @ParameterizedTest
  @CsvSource({
    "/nowhere, ROUTE_UNKNOWN",
    "/tickets/../slots, BAD_REQUEST",
    "/tickets/%2e%2e/slots, BAD_REQUEST",
    "/tickets//1, BAD_REQUEST",
    "/slots, METHOD_NOT_ALLOWED",
    "/v1/chat/completions, METHOD_NOT_ALLOWED",
  })
  void rejectsInvalidTargets(String target, ResultCode code) throws IOException {
    assertEquals(code.number(), call(RawCaller.get(target, RouterFixture.KEY)).code());
  }

  @Test
  void rejectsOversizedHeads() throws IOException {
    String header = "x-filler: " + "x".repeat(5_000);
    Response response = call(RawCaller.get("/tickets/1", RouterFixture.KEY, header));
    assertEquals(ResultCode.HEAD_TOO_LARGE.number(), response.code());
    String oversizedHead = headOrEmptyIfClosed("GET / HTTP/1.1\r\nx: " + "x".repeat(100_000));
    assertTrue(oversizedHead.isEmpty() || oversizedHead.startsWith("HTTP/1.1 400"), oversizedHead);
    assertServesRequests();
  }

  private static String headOrEmptyIfClosed(String request) throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      caller.send(request);
      return caller.head();
    } catch (IOException e) {
      return "";
    }
  }

  @Test
  void rejectsOversizedBodies() throws IOException {
    String body = "{\"model\":\"mender\",\"x\":\"" + "x".repeat(100_000) + "\"}";
    Response response = call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, body));
    assertEquals(ResultCode.BODY_TOO_LARGE.number(), response.code());
    assertServesRequests();
  }

  @Test
  void rejectsOversizedChunkedBodies() throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      caller.send(
          RawCaller.get(WholePathTest.CHAT, RouterFixture.KEY, "Transfer-Encoding: chunked")
              .replace("GET", "POST"));
      caller.send("186A1\r\n" + "x".repeat(100_001) + "\r\n");
      assertEquals(ResultCode.BODY_TOO_LARGE.number(), caller.response().code());
    }
  }

  @Test
  void rejectsSlowSenders() throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      String request = RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM);
      caller.send(request.substring(0, request.length() - 1));
      assertEquals(ResultCode.SENDER_TOO_SLOW.number(), caller.response().code());
    }
    try (RawCaller caller = new RawCaller(fixture.address())) {
      caller.send("GET /tick");
      assertEquals("", caller.head());
    }
  }

  @Test
  void rejectsConnectionsBeyondTheLimit() throws IOException {
    List<Socket> sockets = new ArrayList<>();
    try {
      InetSocketAddress address = fixture.address();
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        sockets.add(new Socket(address.getAddress(), address.getPort()));
      }
      RouterFixture.await(() -> isConnectionRejected(address));
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
    RouterFixture.await(() -> !isConnectionRejected(fixture.address()));
    assertServesRequests();
  }

  private static boolean isConnectionRejected(InetSocketAddress address) {
    try (RawCaller caller = new RawCaller(address)) {
      return !caller.call(RawCaller.get("/health", "")).head().contains(" 200 ");
    } catch (IOException | RuntimeException e) {
      return true;
    }
  }

  /** Other callers are served whatever bytes a connection sends. */
  @Property(tries = 150, seed = "4711")
  void arbitraryBytesDoNotAffectOtherCallers(@ForAll @Size(max = 300) byte[] bytes)
      throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      caller.socket().getOutputStream().write(bytes);
      caller.socket().shutdownOutput();
      assertTrue(caller.head().length() < 10_000);
    } catch (IOException e) {
      assertTrue(e.getMessage() != null);
    }
    assertEquals(200, call(RawCaller.get("/health", "")).status());
  }
}
