package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.adapter.http.CallerServer;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.ResponseHead;
import io.vavr.control.Either;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a kept connection of a caller holds nothing of the requests that ended on it. */
@Timeout(60)
class EndedRequestReachabilityTest {
  private static final int REQUESTS = 50;
  private static final int MAX_COLLECTIONS = 50;
  private static final int BODY_BYTES = 20_000;
  private static final int RESPONSE_BYTES =
      "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok".length();

  private final Intake intake = new Intake();
  private CallerServer server;

  @BeforeEach
  void start() {
    server =
        new CallerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1,
            ListenerLimits.defaults(),
            intake);
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  /** Responds with 200 to every request and remembers its parts weakly. */
  private static final class Intake implements RequestIntake {
    private final ConcurrentLinkedQueue<WeakReference<Object>> parts =
        new ConcurrentLinkedQueue<>();

    @Override
    public RequestId nextId() {
      return new RequestId("r1");
    }

    @Override
    public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
      AdmittedHead admitted = (body, caller) -> respond(body, caller);
      return Either.right(admitted);
    }

    private void respond(byte[] body, Caller caller) {
      CallerListener listener = new Listener(body);
      List.of(caller, listener).forEach(part -> parts.add(new WeakReference<>(part)));
      if (body.length > 0) {
        parts.add(new WeakReference<>(body));
      }
      caller.setListener(listener);
      caller.sendResponse(
          new ResponseHead(200, List.of()), "ok".getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      caller.sendResponse(new ResponseHead(500, List.of()), new byte[0]);
    }

    private long reachable() {
      return parts.stream().filter(part -> part.get() != null).count();
    }
  }

  /** Holds its request's body, as a request in progress does. */
  private record Listener(byte[] body) implements CallerListener {
    @Override
    public void onWritable() {}

    @Override
    public void onDisconnect(DisconnectReason reason) {}
  }

  private void awaitQueuedTasks() throws InterruptedException {
    CountDownLatch tasksRun = new CountDownLatch(1);
    server.thread().execute(tasksRun::countDown);
    tasksRun.await();
  }

  /** Each request left close listeners with its body on the connection, and the heap filled. */
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length", "chunked", "none"})
  void keptConnectionHoldsNoEndedRequest(String framing) throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      for (int i = 0; i < REQUESTS; i++) {
        socket.getOutputStream().write(request(framing));
        readResponse(socket);
      }
      awaitQueuedTasks();
      for (int i = 0; i < MAX_COLLECTIONS && intake.reachable() > 0; i++) {
        System.gc();
      }
      assertEquals(0, intake.reachable(), "parts of ended requests are still reachable");
    }
  }

  private static byte[] request(String framing) {
    String body = "x".repeat(BODY_BYTES);
    String text =
        switch (framing) {
          case "none" -> "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
          case "chunked" ->
              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + Integer.toHexString(BODY_BYTES)
                  + "\r\n"
                  + body
                  + "\r\n0\r\n\r\n";
          default ->
              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + body;
        };
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void readResponse(Socket socket) throws IOException {
    String response =
        new String(socket.getInputStream().readNBytes(RESPONSE_BYTES), StandardCharsets.ISO_8859_1);
    assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("ok"), response);
  }
}
