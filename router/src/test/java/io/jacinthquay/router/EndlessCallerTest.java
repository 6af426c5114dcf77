package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the router closes the connections of callers that send bytes without end. */
@Timeout(60)
class EndlessCallerTest {
  /** Bytes after which the caller gives up, so that a router without a bound fails the test. */
  private static final long MAX_SENT_BYTES = 64L << 20;

  private static final int WRITE_BYTES = 16 * 1024;

  /** Number of bytes without content after which the router ends a request. */
  private static final int MAX_BYTES_WITHOUT_CONTENT = 64 * 1024;

  private static final ListenerLimits LIMITS =
      new ListenerLimits(4_096, 100_000, 1_000_000, 40, 500, 20_000, 10_000);

  private CallerServer server;

  /** What a caller sends: an opening once, then a part repeatedly. */
  private enum Endless {
    GARBAGE("", "x"),
    BLANK_LINES("", "\r\n"),
    TARGET("GET /", "x"),
    QUERY("GET /?", "a=b&"),
    HEADER_NAME("GET / HTTP/1.1\r\n", "x"),
    HEADER_VALUE("GET / HTTP/1.1\r\nX: ", "x"),
    HEADER_LINES("GET / HTTP/1.1\r\n", "X: x\r\n"),
    CHUNKS("POST /", "5\r\nhello\r\n"),
    CHUNK_EXTENSION("POST /", "5;a=b", "x"),
    TRAILERS("POST /", "0\r\n", "X-Filler: x\r\n"),
    CHUNKS_OF_A_REFUSED_HEAD("POST /refused", "5\r\nhello\r\n"),
    EXTENSION_OF_A_REFUSED_HEAD("POST /refused", "5;a=b", "x"),
    TRAILERS_OF_A_REFUSED_HEAD("POST /refused", "0\r\n", "X-Filler: x\r\n");

    private final String opening;
    private final String part;

    Endless(String start, String part) {
      this(start, "", part);
    }

    Endless(String start, String bodyStart, String part) {
      this.opening =
          start.startsWith("POST")
              ? start + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + bodyStart
              : start;
      this.part = part;
    }
  }

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

  /** Responds with 200 to every request, except to the path {@code /refused}. */
  private static final class Intake implements RequestIntake {
    @Override
    public RequestId nextId() {
      return new RequestId("r1");
    }

    @Override
    public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
      return head.rawPath().equals("/refused")
          ? Either.left(Failure.of(ResultCode.ROUTE_UNKNOWN))
          : Either.right((body, caller) -> respond(caller, 200));
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      respond(caller, failure.code().httpStatus());
    }

    private static void respond(Caller caller, int status) {
      caller.begin(new ResponseHead(status, List.of()), OptionalLong.of(2));
      boolean unused = caller.write(ByteBuffer.wrap(bytes("ok")));
      caller.end();
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), server.port());
  }

  /**
   * Chunk extensions and trailers must have a bound of their own: without one they are read, and
   * trailers stored, up to the time limit of a body.
   */
  @ParameterizedTest
  @EnumSource
  void closesTheConnectionOfACallerThatSendsWithoutEnd(Endless endless) throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    long[] acceptedBytes = new long[1];
    try (Socket socket = connect()) {
      Thread sender =
          new Thread(
              () -> {
                acceptedBytes[0] = sendUntilClosed(socket, endless);
                closed.countDown();
              },
              "endless-caller");
      sender.setDaemon(true);
      sender.start();
      try (Socket other = connect()) {
        other
            .getOutputStream()
            .write(bytes("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
        String response =
            new String(other.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertEquals("HTTP/1.1 200 OK", response.lines().findFirst().orElse(""));
      }
      closed.await();
    }
    assertTrue(
        acceptedBytes[0] < MAX_SENT_BYTES, "the router accepted " + acceptedBytes[0] + " bytes");
  }

  /**
   * The bound on chunk extensions grows with the content, and a rejected body is read to its end.
   */
  @ParameterizedTest
  @ValueSource(strings = {"/", "/refused"})
  void acceptsAValidBodyWithExtensionsAndTheNextRequest(String path) throws Exception {
    String head = " HTTP/1.1\r\nHost: h\r\n";
    String chunk = "5;name=" + "x".repeat(20) + "\r\nhello\r\n";
    String body =
        chunk.repeat(2 * MAX_BYTES_WITHOUT_CONTENT / chunk.length()) + "0\r\nX-Trailer: x\r\n\r\n";
    try (Socket socket = connect()) {
      OutputStream out = socket.getOutputStream();
      out.write(bytes("POST " + path + head + "Transfer-Encoding: chunked\r\n\r\n" + body));
      out.write(bytes("GET /" + head + "Connection: close\r\n\r\n"));
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(
          responses.startsWith(path.equals("/") ? "HTTP/1.1 200" : "HTTP/1.1 404"), responses);
      assertTrue(responses.lastIndexOf("HTTP/1.1 200") > 0, responses);
    }
  }

  private static long sendUntilClosed(Socket socket, Endless endless) {
    byte[] parts = bytes(endless.part.repeat(Math.max(1, WRITE_BYTES / endless.part.length())));
    long sent = 0;
    try {
      OutputStream out = socket.getOutputStream();
      out.write(bytes(endless.opening));
      while (sent < MAX_SENT_BYTES) {
        out.write(parts);
        sent += parts.length;
      }
    } catch (IOException e) {
      return sent;
    }
    return sent;
  }
}
