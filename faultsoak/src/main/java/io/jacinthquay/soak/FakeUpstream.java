package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A fake upstream that draws its behavior from a seed, fails some requests on purpose and records
 * each run.
 */
final class FakeUpstream implements AutoCloseable {
  private static final int MAX_WORK_MILLIS = 80;

  /** Work of a slow request. */
  private static final int LONG_WORK_MILLIS = 2_500;

  private static final int MAX_GAP_MILLIS = 60;

  /** Pause of a stalled stream; longer than any caller waits. */
  private static final int STALL_MILLIS = 60_000;

  private final int number;
  private final int rejectedPercent;
  private final History history;
  private final SplittableRandom random;
  private final Acceptor acceptor;
  private volatile String id;

  /**
   * Starts an upstream.
   *
   * @param rejectedPercent share of requests that it rejects without running them, in percent
   */
  FakeUpstream(int number, long seed, int rejectedPercent, History history) throws IOException {
    this.rejectedPercent = rejectedPercent;
    this.number = number;
    this.history = history;
    this.random = new SplittableRandom(seed);
    this.id = "i-" + number + "-0";
    this.acceptor = new Acceptor(this::serve);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  /** Returns the current id of the upstream. */
  String id() {
    return id;
  }

  /** Simulates a restart: changes the id and resets all connections. */
  void restart(String newId) {
    id = newId;
    acceptor.reset();
  }

  private synchronized int nextInt(int bound) {
    return random.nextInt(bound);
  }

  private void serve(Socket socket) throws IOException {
    PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
    while (true) {
      HttpCodec.Head head = HttpCodec.readHead(in);
      StringBuilder body = new StringBuilder();
      HttpCodec.readBody(head, in, body::append);
      if (!handle(new ReceivedRequest(socket, in, head, body.toString()))) {
        return;
      }
    }
  }

  /** Responds to a request; returns whether the connection stays open. */
  private boolean handle(ReceivedRequest request) throws IOException {
    history.add(new History.Arrival(request.id(), number, System.nanoTime()));
    String expected = request.head.field("Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      request.write(421, "Not-Executed: 1\r\n", "another one answers here");
      return true;
    }
    int behavior = nextInt(100);
    if (behavior < rejectedPercent) {
      request.write(503, "Not-Executed: 1\r\n", "full");
      return true;
    }
    long began = System.nanoTime();
    try {
      return request.kind().isStream()
          ? respondStreaming(request, behavior)
          : respond(request, behavior);
    } finally {
      history.add(request.run(began));
    }
  }

  private boolean respond(ReceivedRequest request, int behavior) throws IOException {
    if (!request.simulateWork(behavior < 5 ? LONG_WORK_MILLIS : 1 + nextInt(MAX_WORK_MILLIS))) {
      return false;
    }
    String body = ExpectedResponse.body(request.id());
    switch (behavior) {
      case 5, 6 -> {
        request.write(500, "Response-Signature: s\r\n", "failed");
        return true;
      }
      case 7 -> {
        request.send(
            request.head(200, "Response-Signature: s\r\nContent-Length: " + body.length()));
        request.send(body.substring(0, body.length() / 2));
        request.truncated = true;
        return false;
      }
      case 8 -> {
        request.abort();
        return false;
      }
      case 9, 10 -> {
        request.write(200, "Response-Signature: s\r\n", body);
        // Sends a second copy of the response that no request asked for.
        sleep(nextInt(20));
        request.write(200, "Response-Signature: s\r\n", body);
        return true;
      }
      default -> {
        request.write(200, "Response-Signature: s\r\n", body);
        return true;
      }
    }
  }

  private static void sleep(long millis) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the upstream was interrupted", e);
    }
  }

  private boolean respondStreaming(ReceivedRequest request, int behavior) throws IOException {
    int last = ExpectedResponse.eventCount(request.id());
    int first = 1 + (int) request.head.longField("Last-Event-Id").orElse(0);
    if (!request.simulateWork(1 + nextInt(MAX_WORK_MILLIS))) {
      return false;
    }
    request.send(
        request.head(
            200,
            "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked"));
    int failAt = behavior < 8 ? first + nextInt(last) : Integer.MAX_VALUE;
    for (int event = first; event <= last; event++) {
      if (event == failAt && behavior < 5) {
        request.abort();
        return false;
      }
      if (!request.simulateWork(event == failAt ? STALL_MILLIS : nextInt(MAX_GAP_MILLIS))) {
        return false;
      }
      request.send(HttpCodec.encodeChunk(ExpectedResponse.event(request.id(), event)));
    }
    request.send("0\r\n\r\n");
    return true;
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }

  /** A received request and its connection. */
  private final class ReceivedRequest {
    private final Socket socket;
    private final PushbackInputStream in;
    private final HttpCodec.Head head;
    private final String body;
    private boolean truncated;

    ReceivedRequest(Socket socket, PushbackInputStream in, HttpCodec.Head head, String body) {
      this.socket = socket;
      this.in = in;
      this.head = head;
      this.body = body;
    }

    RequestId id() {
      return new RequestId(head.field("Attempt-Id"));
    }

    CallKind kind() {
      return CallKind.of(head.secondWord());
    }

    Run run(long began) {
      boolean unaltered =
          head.field("Tenant").equals(Documents.Customer.of(id()).label())
              && head.field("Authorization").isEmpty()
              && body.equals(CallerLoop.body(id()));
      return new Run(
          id(),
          kind(),
          number,
          began,
          System.nanoTime(),
          head.longField("Deadline-Ms").orElse(-1),
          unaltered,
          truncated);
    }

    void abort() {
      truncated = true;
      Acceptor.reset(socket);
    }

    /** Simulates work; returns false if the connection ended or more bytes arrived meanwhile. */
    boolean simulateWork(int millis) throws IOException {
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
      long remainingMillis = millis;
      while (remainingMillis > 0) {
        socket.setSoTimeout((int) remainingMillis);
        try {
          int next = in.read();
          if (next < 0) {
            return false;
          }
          in.unread(next);
          history.addUnexpected(
              "upstream " + number + " got more before it had answered " + id().value());
          return false;
        } catch (SocketTimeoutException e) {
          remainingMillis = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
        }
      }
      socket.setSoTimeout(0);
      return true;
    }

    String head(int status, String fields) {
      return "HTTP/1.1 "
          + status
          + " Status\r\nAttempt-Id: "
          + id().value()
          + "\r\n"
          + fields
          + "\r\n\r\n";
    }

    void write(int status, String fields, String content) throws IOException {
      send(head(status, fields + "Content-Length: " + content.length()) + content);
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(HttpCodec.encode(text));
    }
  }
}
