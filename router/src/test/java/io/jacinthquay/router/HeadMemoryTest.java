package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.adapter.http.CallerServer;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.ResponseHead;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that requests in progress hold the memory of their heads and of nothing behind them. */
class HeadMemoryTest {
  private static final int MAX_BUFFERED_BYTES = 400_000;
  private static final int CALLERS = 12;
  private static final ListenerLimits LIMITS =
      new ListenerLimits(32_768, 100_000, MAX_BUFFERED_BYTES, 100, 10_000, 10_000, 60_000);

  /** Answers refusals only. */
  private static final class WaitingIntake implements RequestIntake {
    @Override
    public RequestId nextId() {
      return new RequestId("r-1");
    }

    @Override
    public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
      return Either.right(
          (body, caller) -> {
            if (head.path().equals("/answer")) {
              caller.sendResponse(new ResponseHead(200, List.of()), new byte[0]);
            }
          });
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      caller.sendResponse(new ResponseHead(failure.code().httpStatus(), List.of()), new byte[0]);
    }
  }

  private final List<Socket> sockets = new ArrayList<>();
  private CallerServer server;

  @BeforeEach
  void start() {
    server =
        new CallerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1,
            LIMITS,
            new WaitingIntake());
    server.start();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    server.stop();
  }

  private Socket send(String request) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    sockets.add(socket);
    socket.setSoTimeout(5_000);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static String status(Socket socket) throws IOException {
    byte[] line = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    return new String(line, StandardCharsets.US_ASCII).substring("HTTP/1.1 ".length());
  }

  @Test
  void manyLargeHeadsInProgressAreRefusedUntilOthersEnd() throws IOException {
    String large = "GET /wait?" + "a=1&".repeat(900) + " HTTP/1.1\r\nHost: h\r\n\r\n";
    for (int i = 0; i < CALLERS; i++) {
      send(large);
    }
    assertEquals("503", status(send(large)));
    assertEquals("200", status(send("GET /answer HTTP/1.1\r\nHost: h\r\n\r\n")));
    for (Socket socket : sockets) {
      socket.close();
    }
    RouterFixture.await(() -> server.openConnections() == 0);
    assertEquals("200", status(send(large.replace("/wait", "/answer"))));
  }

  /** Lines of a body would cost as much as lines of a head. */
  @Test
  void bodiesAreNotCountedAsHeads() throws IOException {
    String body = "\n".repeat(1_000);
    String head = "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n";
    for (int i = 0; i < CALLERS; i++) {
      send(head + body);
    }
    assertEquals("200", status(send(head.replace("/wait", "/answer") + body)));
    assertEquals(0, server.unfinishedHeadBytes());
    assertEquals(0, server.connectionsGivenUp());
  }

  /** A connection whose next requests wait holds no pooled buffer, also when memory is short. */
  @ParameterizedTest
  @CsvSource({"12, 3", "60, 300"})
  void waitingRequestsHoldNoPooledBuffers(int callers, int requests) throws IOException {
    String request = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";
    for (int i = 0; i < callers; i++) {
      send(request.repeat(requests) + request.substring(0, 10));
    }
    RouterFixture.await(() -> server.requestsInProgress() == callers);
    RouterFixture.await(() -> server.buffersInUse() == 0);
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws IOException {
    String request = "GET /answer HTTP/1.1\r\nHost: h\r\n\r\n";
    Socket socket = send(request.repeat(300) + request.substring(0, 10));
    for (int i = 0; i < 300; i++) {
      assertEquals("200", status(socket), "answer " + i);
      readRest(socket);
    }
    socket.getOutputStream().write(request.substring(10).getBytes(StandardCharsets.US_ASCII));
    assertEquals("200", status(socket));
  }

  private static void readRest(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith("\r\n\r\n")) {
      text.append((char) socket.getInputStream().read());
    }
  }
}
