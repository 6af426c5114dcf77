package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.undertow.Undertow;
import io.undertow.util.Headers;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses, timeouts and resets of {@link JsonHttpClient}. */
class JsonHttpClientTest {
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  private static final int SMALL_BUFFER_BYTES = 4_096;
  private static final int BODY_BYTES = 8 << 20;

  /** Well below the ten seconds for which Undertow delays a close. */
  private static final int RESET_TIMEOUT_MILLIS = 5_000;

  private final AtomicInteger calls = new AtomicInteger();
  private final JsonHttpClient http = new JsonHttpClient("test");
  private Undertow server;

  @BeforeEach
  void start() {
    server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(
                exchange -> {
                  calls.incrementAndGet();
                  if (exchange.getRequestPath().equals("/silent")) {
                    exchange.dispatch(() -> {});
                    return;
                  }
                  exchange.setStatusCode(exchange.getRequestPath().equals("/bad") ? 409 : 200);
                  exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                  exchange
                      .getRequestReceiver()
                      .receiveFullString(
                          (e, body) -> e.getResponseSender().send("<" + body + ">"),
                          StandardCharsets.UTF_8);
                })
            .build();
    server.start();
    http.start();
  }

  @AfterEach
  void stop() {
    http.stop();
    server.stop();
  }

  private InetSocketAddress address() {
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), bound.getPort());
  }

  @ParameterizedTest
  @ValueSource(strings = {"{}", "{\"a\":\"\u00e9\"}"})
  void sendsAndReceivesBody(String body) {
    HttpResponse answer = http.call(HttpCall.post(address(), "/x", body, LONG_TIMEOUT)).get();
    assertEquals(new HttpResponse(200, "<" + body + ">"), answer);
  }

  @Test
  void errorStatusIsAResponse() {
    assertEquals(409, http.call(HttpCall.get(address(), "/bad", LONG_TIMEOUT)).get().status());
  }

  @Test
  void sendsNothingIfWriteConditionIsFalse() {
    HttpCall call =
        HttpCall.post(address(), "/x", "{}", LONG_TIMEOUT).withWriteCondition(() -> false);
    assertEquals(ResultCode.UPSTREAM_UNREACHABLE, http.call(call).getLeft().code());
    assertEquals(0, calls.get());
  }

  @Test
  void missingResponseFailsAfterTimeout() {
    HttpCall call = HttpCall.get(address(), "/silent", Duration.ofMillis(300));
    assertTrue(http.call(call).isLeft());
  }

  @Test
  void closedPortIsUnreachable() {
    InetSocketAddress closed = address();
    server.stop();
    HttpCall call = HttpCall.get(closed, "/x", LONG_TIMEOUT);
    assertEquals(ResultCode.UPSTREAM_UNREACHABLE, http.call(call).getLeft().code());
  }

  /** A broken link may keep written data and deliver it seconds later, when it is up again. */
  @Test
  void timedOutCallIsNotDeliveredLater() throws Exception {
    try (ServerSocket slowListener = new ServerSocket()) {
      slowListener.setReceiveBufferSize(SMALL_BUFFER_BYTES);
      slowListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      InetSocketAddress server = (InetSocketAddress) slowListener.getLocalSocketAddress();
      String body = "x".repeat(BODY_BYTES);
      assertTrue(http.call(HttpCall.post(server, "/x", body, Duration.ofMillis(300))).isLeft());
      try (Socket accepted = slowListener.accept()) {
        InputStream in = accepted.getInputStream();
        assertThrows(SocketException.class, in::readAllBytes, "the call was not reset");
      }
    }
  }

  /** A server that is still processing a call must notice that the caller has given up. */
  @Test
  void timedOutCallResetsItsConnection() throws Exception {
    try (ServerSocket silentListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress server = (InetSocketAddress) silentListener.getLocalSocketAddress();
      assertTrue(http.call(HttpCall.post(server, "/x", "{}", Duration.ofMillis(300))).isLeft());
      try (Socket accepted = silentListener.accept()) {
        accepted.setSoTimeout(RESET_TIMEOUT_MILLIS);
        InputStream in = accepted.getInputStream();
        assertThrows(SocketException.class, in::readAllBytes, "the call was not reset");
      }
    }
  }
}
