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
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the memory and the count of connections that callers share. */
@Timeout(60)
class BodyMemoryTest {
  private static final int MAX_CONNECTIONS = 8;
  private static final int BODY_BYTES = 600_000;
  private static final ListenerLimits LIMITS =
      new ListenerLimits(4_096, BODY_BYTES, 1_000_000, MAX_CONNECTIONS, 10_000, 20_000, 60_000);

  private final CountDownLatch admitted = new CountDownLatch(1);
  private CallerServer server;

  @BeforeEach
  void start() {
    server =
        new CallerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1, LIMITS, new Intake());
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  private final class Intake implements RequestIntake {
    @Override
    public RequestId nextId() {
      return new RequestId("r1");
    }

    @Override
    public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
      admitted.countDown();
      return Either.right((body, caller) -> respond(caller, body.length == 0 ? 204 : 200));
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      respond(caller, failure.code().httpStatus());
    }

    private static void respond(Caller caller, int status) {
      caller.sendResponse(new ResponseHead(status, List.of()), new byte[0]);
    }
  }

  private Socket post() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    write(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String status(Socket socket) throws IOException {
    return new String(
        socket.getInputStream().readNBytes("HTTP/1.1 200".length()), StandardCharsets.ISO_8859_1);
  }

  /** Bodies beyond the shared memory were read until it ran out, each partly. */
  @Test
  void bodyThatDoesNotFitIsRefusedBeforeItIsRead() throws Exception {
    try (Socket first = post()) {
      admitted.await();
      try (Socket second = post()) {
        write(second, "x".repeat(BODY_BYTES));
        assertEquals("HTTP/1.1 503", status(second));
      }
      write(first, "x".repeat(BODY_BYTES));
      assertEquals("HTTP/1.1 200", status(first));
    }
    try (Socket third = post()) {
      write(third, "x".repeat(BODY_BYTES));
      assertEquals("HTTP/1.1 200", status(third));
    }
  }

  /** A connection that closed while it was accepted was counted as open forever. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void connectionThatClosesWhileItIsAcceptedIsNotCounted(boolean reset) throws Exception {
    CountDownLatch accepting = new CountDownLatch(1);
    server
        .thread()
        .execute(
            () -> {
              try {
                accepting.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
      if (reset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }
    accepting.countDown();
    CountDownLatch accepted = new CountDownLatch(1);
    server.thread().execute(accepted::countDown);
    accepted.await();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
        write(socket, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        assertEquals("HTTP/1.1 204", status(socket));
      }
    }
  }
}
