package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses whose end can't be known were returned as complete, or as missing after a timeout. */
final class InvalidFramingTest {
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final JsonHttpClient http = new JsonHttpClient("test");

  @BeforeEach
  void start() {
    http.start();
  }

  @AfterEach
  void stop() {
    http.stop();
  }

  /** Calls a server that sends a text to each caller and closes the connection, or keeps it. */
  private Either<Failure, HttpResponse> call(String response, boolean closes) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      Thread server = new Thread(() -> respond(listener, response, closes), "framing-server");
      server.setDaemon(true);
      server.start();
      InetSocketAddress address =
          new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
      return http.call(HttpCall.get(address, "/x", Duration.ofSeconds(20)));
    }
  }

  private static void respond(ServerSocket listener, String response, boolean closes) {
    try (Socket socket = listener.accept()) {
      byte[] request = new byte[4_096];
      int count = socket.getInputStream().read(request);
      socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      while (!closes && count >= 0) {
        count = socket.getInputStream().read(request);
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"5\r\nhello\r\nzz\r\n\r\n", "zz\r\n\r\n", "zz\r\n", "5\r\nhello\r\n-1\r\n\r\n"})
  void invalidChunksBreakAResponse(String chunks) throws Exception {
    assertEquals(ResultCode.UPSTREAM_BROKE, call(CHUNKED + chunks, true).getLeft().code());
    assertEquals(ResultCode.UPSTREAM_BROKE, call(CHUNKED + chunks, false).getLeft().code());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nContent-Length: 3",
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length : 5",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 15"
      })
  void invalidLengthsBreakAResponse(String fields) throws Exception {
    String response = "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n";
    assertEquals(ResultCode.UPSTREAM_BROKE, call(response, true).getLeft().code());
    assertEquals(ResultCode.UPSTREAM_BROKE, call(response, false).getLeft().code());
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "600", "999", "+200", "2OO", "0200", "101"})
  void invalidStatusIsNoResponse(String status) throws Exception {
    String response = "HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n\r\nwrong";
    assertEquals(ResultCode.UPSTREAM_BROKE, call(response, true).getLeft().code());
    assertEquals(ResultCode.UPSTREAM_BROKE, call(response, false).getLeft().code());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        CHUNKED + "5\r\nwhole\r\n0\r\n\r\n",
        CHUNKED + "2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nX-T: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\n\r\nwhole"
      })
  void validResponsesAreComplete(String response) throws Exception {
    assertEquals(new HttpResponse(200, "whole"), call(response, true).get());
  }
}
