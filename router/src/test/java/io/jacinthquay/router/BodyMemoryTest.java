package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
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

  /** Longer than what a lost packet takes. */
  private static final int STALL_MILLIS = 1_100;

  private static final ListenerLimits LIMITS =
      new ListenerLimits(4_096, BODY_BYTES, 1_000_000, MAX_CONNECTIONS, 10_000, 20_000, 60_000);

  private final CountDownLatch admitted = new CountDownLatch(1);
  private final CountDownLatch held = new CountDownLatch(1);
  private final AtomicReference<Runnable> release = new AtomicReference<>();
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
      return switch (head.path()) {
        case "/refused" -> Either.left(Failure.of(ResultCode.ROUTE_UNKNOWN));
        case "/hold" -> Either.right((body, caller) -> hold(caller));
        default -> Either.right((body, caller) -> respond(caller, body.length == 0 ? 204 : 200));
      };
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      respond(caller, failure.code().httpStatus());
    }

    private void hold(Caller caller) {
      release.set(() -> caller.thread().execute(() -> respond(caller, 200)));
      held.countDown();
    }

    private static void respond(Caller caller, int status) {
      caller.sendResponse(new ResponseHead(status, List.of()), new byte[0]);
    }
  }

  private Socket post(String path) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    write(
        socket,
        "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String status(Socket socket) throws IOException {
    return new String(
        socket.getInputStream().readNBytes("HTTP/1.1 200".length()), StandardCharsets.ISO_8859_1);
  }

  /** A length that was announced took memory from others, and a body that stopped kept it. */
  @ParameterizedTest
  @ValueSource(ints = {0, BODY_BYTES - 5})
  void bodyThatStopsMakesRoomForOthers(int sentBytes) throws Exception {
    try (Socket stopped = post("/")) {
      write(stopped, "x".repeat(sentBytes));
      admitted.await();
      TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
      try (Socket second = post("/")) {
        write(second, "x".repeat(BODY_BYTES));
        assertEquals("HTTP/1.1 200", status(second));
      }
      if (sentBytes > 0) {
        assertEquals("HTTP/1.1 503", status(stopped));
      }
    }
  }

  /** Bodies of requests in progress were closed for the memory of later ones. */
  @Test
  void bodyInProgressIsKeptAndALaterOneRejected() throws Exception {
    try (Socket first = post("/hold")) {
      write(first, "x".repeat(BODY_BYTES));
      held.await();
      try (Socket second = post("/")) {
        write(second, "x".repeat(BODY_BYTES));
        assertEquals("HTTP/1.1 503", status(second));
      }
      release.get().run();
      assertEquals("HTTP/1.1 200", status(first));
    }
    try (Socket third = post("/")) {
      write(third, "x".repeat(BODY_BYTES));
      assertEquals("HTTP/1.1 200", status(third));
    }
  }

  /** One address could take all connections from the others. */
  @Test
  void silentConnectionsOfOneAddressMakeRoomForAnotherAddress() throws Exception {
    List<Socket> silent = new ArrayList<>();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    InetAddress other = InetAddress.getByName("127.0.0.2");
    try {
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        silent.add(new Socket(loopback, server.port(), other, 0));
      }
      RouterFixture.await(() -> server.openConnections() == MAX_CONNECTIONS);
      try (Socket socket = new Socket(loopback, server.port())) {
        write(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        assertEquals("HTTP/1.1 204", status(socket));
      }
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }

  /** A rejection was written only after the rest of the body. */
  @Test
  void rejectionDoesNotWaitForTheBody() throws Exception {
    try (Socket socket = post("/refused")) {
      assertEquals("HTTP/1.1 404", status(socket));
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
