package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a program outlives servers that send bytes without end to its calls. */
@Timeout(60)
final class EndlessAnswerTest {
  private static final int CALLS = 16;
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final int WRITE_BYTES = 16 * 1024;

  /** Bounds what waits in the network, so that written bytes tell how many were read. */
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  /** A limit of 64 KiB outside a body, and what the sockets hold. */
  private static final long MAX_SENT_OUTSIDE_BODY_BYTES = 1L << 20;

  /** A limit of 4 MiB for a body with its framing, and what the sockets hold. */
  private static final long MAX_SENT_BYTES = 12L << 20;

  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

  /** What a server sends: an opening, then a part without end. */
  private enum Answer {
    GARBAGE("", "x"),
    BLANK_LINES("", "\r\n"),
    REASON_PHRASE("HTTP/1.1 200 ", "O"),
    HEADER_NAME(OK, "x"),
    HEADER_VALUE(OK + "X-Filler: ", "x"),
    HEADER_LINES(OK, "z:\r\n"),
    INTERIM("", "HTTP/1.1 100 Continue\r\n\r\n"),
    CHUNK_EXTENSION(CHUNKED + "5;", "x"),
    TRAILERS(CHUNKED + "5\r\nhello\r\n0\r\n", "z:\r\n"),
    CHUNKS_OF_ONE_BYTE(CHUNKED, "1\r\nx\r\n", MAX_SENT_BYTES),
    DECLARED_BODY(OK + "Content-Length: 1000000000000\r\n\r\n", "x", MAX_SENT_BYTES),
    UNFRAMED_BODY(OK + "Connection: close\r\n\r\n", "x", MAX_SENT_BYTES);

    private final String opening;
    private final String repeated;

    private final long maxSentBytes;

    Answer(String opening, String repeated) {
      this(opening, repeated, MAX_SENT_OUTSIDE_BODY_BYTES);
    }

    Answer(String opening, String repeated, long maxSentBytes) {
      this.opening = opening;
      this.repeated = repeated;
      this.maxSentBytes = maxSentBytes;
    }
  }

  private final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();
  private final AtomicLong mostSentBytes = new AtomicLong();
  private Process client;

  @AfterEach
  void stop() throws Exception {
    for (AutoCloseable each : opened) {
      each.close();
    }
    if (client != null) {
      client.destroyForcibly().waitFor();
    }
  }

  /** Starts a server that sends a text, then another again and again unless it is empty. */
  private int serve(String opening, String repeated) throws IOException {
    ServerSocket listener = new ServerSocket(0, CALLS, InetAddress.getLoopbackAddress());
    opened.add(listener);
    startThread(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            opened.add(socket);
            startThread(() -> answer(socket, opening, repeated));
          }
        });
    return listener.getLocalPort();
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void startThread(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The client or the test closed the connection.
              }
            },
            "endless-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void answer(Socket socket, String opening, String repeated) throws IOException {
    socket.setSendBufferSize(SEND_BUFFER_BYTES);
    OutputStream out = socket.getOutputStream();
    out.write(opening.getBytes(StandardCharsets.ISO_8859_1));
    if (repeated.isEmpty()) {
      int unused = socket.getInputStream().read(new byte[WRITE_BYTES]);
      return;
    }
    byte[] block =
        repeated.repeat(WRITE_BYTES / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
    long sent = 0;
    while (true) {
      out.write(block);
      sent += block.length;
      mostSentBytes.accumulateAndGet(sent, Math::max);
    }
  }

  private List<String> call(int endlessPort, int validPort) throws IOException {
    client =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxDirectMemorySize=64m",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                SmallHeapClient.class.getName(),
                Integer.toString(endlessPort),
                Integer.toString(CALLS),
                Integer.toString(TIMEOUT_MILLIS),
                Integer.toString(validPort))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    try (BufferedReader output =
        new BufferedReader(
            new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1))) {
      return output
          .lines()
          .filter(line -> line.startsWith(SmallHeapClient.RESULT))
          .map(line -> line.substring(SmallHeapClient.RESULT.length()))
          .toList();
    }
  }

  /** A program ended with OutOfMemoryError, or its thread served no other call for seconds. */
  @ParameterizedTest
  @EnumSource
  void endlessAnswersLeaveTheOtherCallsServed(Answer answer) throws Exception {
    int valid = serve(OK + "Content-Length: 2\r\n\r\n{}", "");
    List<String> results = call(serve(answer.opening, answer.repeated), valid);
    assertTrue(client.waitFor(10, TimeUnit.SECONDS), "the client's process goes on");
    assertEquals(0, client.exitValue(), "the client's process ended");
    assertEquals(CALLS + 1, results.size());
    assertEquals("200", results.get(CALLS), "the call beside the others");
    Set<String> broken = Set.of("UPSTREAM_BROKE", "UPSTREAM_TIMEOUT");
    results.subList(0, CALLS).forEach(result -> assertTrue(broken.contains(result), result));
    long sent = mostSentBytes.get();
    assertTrue(sent <= answer.maxSentBytes, "a call was sent " + sent + " bytes");
  }
}
