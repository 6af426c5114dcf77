package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.ResponseHead;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
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

/** Tests which connections a server closes that is about to stop. */
@Timeout(30)
final class ServerDrainTest {
  private static final String REQUEST =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

  private CallerServer server;

  /** Answers each request with its body. */
  private static final class EchoIntake implements RequestIntake {
    @Override
    public RequestId nextId() {
      return new RequestId("r-1");
    }

    @Override
    public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
      return Either.right(
          (body, caller) -> caller.sendResponse(new ResponseHead(200, List.of()), body));
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      caller.sendResponse(new ResponseHead(400, List.of()), new byte[0]);
    }
  }

  @BeforeEach
  void start() {
    server =
        new CallerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1,
            ListenerLimits.defaults(),
            new EchoIntake());
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), server.port());
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads a response with a body of 5 bytes; returns what came if the connection ends before. */
  private static String readResponse(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    int read = 0;
    while (read >= 0 && !text.toString().endsWith("\r\n\r\nhello")) {
      read = in.read();
      if (read >= 0) {
        text.append((char) read);
      }
    }
    return text.toString();
  }

  private Socket connectAndCall() throws IOException {
    Socket socket = connect();
    write(socket, REQUEST);
    assertTrue(readResponse(socket).startsWith("HTTP/1.1 200"));
    awaitQueuedTasks();
    return socket;
  }

  private void awaitQueuedTasks() {
    CountDownLatch tasksRun = new CountDownLatch(1);
    server.thread().execute(tasksRun::countDown);
    await(tasksRun);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Keeps the I/O thread from reading until the returned latch is counted down. */
  private CountDownLatch blockThread() {
    CountDownLatch release = new CountDownLatch(1);
    server.thread().execute(() -> await(release));
    return release;
  }

  @Test
  void requestThatArrivesJustBeforeIdleConnectionsAreClosedIsAnswered() throws IOException {
    try (Socket socket = connectAndCall()) {
      CountDownLatch release = blockThread();
      write(socket, REQUEST);
      server.drain();
      server.closeIdle();
      release.countDown();
      String response = readResponse(socket);
      assertTrue(response.startsWith("HTTP/1.1 200"), "cut off: " + response);
      assertTrue(response.contains("Connection: close"), response);
    }
  }

  @Test
  void requestWhoseHeadIsPartlyReadIsAnsweredThoughIdleConnectionsAreClosed() throws IOException {
    try (Socket socket = connectAndCall()) {
      write(socket, REQUEST.substring(0, 20));
      server.closeIdle();
      awaitQueuedTasks();
      write(socket, REQUEST.substring(20));
      assertTrue(readResponse(socket).startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  void requestWhoseBodyIsPartlyReadIsAnsweredThoughIdleConnectionsAreClosed() throws IOException {
    try (Socket socket = connectAndCall()) {
      write(socket, REQUEST.substring(0, REQUEST.length() - 2));
      server.closeIdle();
      awaitQueuedTasks();
      write(socket, REQUEST.substring(REQUEST.length() - 2));
      assertTrue(readResponse(socket).startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  void idleConnectionIsClosed() throws IOException {
    try (Socket socket = connectAndCall()) {
      server.closeUsedIdle();
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void connectionWithoutARequestIsClosedLast() throws IOException {
    try (Socket socket = connect()) {
      while (server.openConnections() == 0) {
        Thread.onSpinWait();
      }
      server.closeUsedIdle();
      awaitQueuedTasks();
      assertEquals(1, server.openConnections());
      server.closeIdle();
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void connectionKeptDuringTheDrainIsClosedAfterItsResponse() throws IOException {
    try (Socket socket = connectAndCall()) {
      server.drain();
      write(socket, REQUEST);
      assertTrue(readResponse(socket).contains("Connection: close"));
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
