package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fake upstream that draws its behavior from a seed, fails some requests on purpose and records
 * each run.
 */
final class FakeUpstream implements AutoCloseable {
  private static final int MAX_WORK_MILLIS = 80;

  /** Work of a slow request. */
  private static final int LONG_WORK_MILLIS = 2_500;

  private static final int MAX_GAP_MILLIS = 60;

  /** Latest time at which the second copy of a response is sent. */
  private static final int MAX_COPY_DELAY_MILLIS = 3_000;

  /** Longest time for which an upstream keeps an idle connection after it told a timeout. */
  private static final int MAX_IDLE_MILLIS = 1_000;

  /** Pause of a stalled stream; longer than any caller waits. */
  private static final int STALL_MILLIS = 60_000;

  private final int number;
  private final int rejectedPercent;
  private final History history;
  private final SplittableRandom random;
  private final Acceptor acceptor;
  private final ScheduledExecutorService timers =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "soak-upstream-timer");
            thread.setDaemon(true);
            return thread;
          });
  private final AtomicInteger spoiling = new AtomicInteger();
  private volatile OptionalDouble statedLimit = OptionalDouble.empty();
  private final AtomicInteger runCount = new AtomicInteger();
  private volatile Lifetime lifetime;

  /**
   * One lifetime of an upstream.
   *
   * @param release number of the release of its software
   */
  record Lifetime(String id, int release) {
    /** Returns the version of its software. */
    String version() {
      return "v" + release;
    }
  }

  /**
   * Starts an upstream with the first version of its software.
   *
   * @param rejectedPercent share of requests that it rejects without running them, in percent
   */
  FakeUpstream(int number, long seed, int rejectedPercent, History history) throws IOException {
    this(number, seed, rejectedPercent, 1, history);
  }

  /**
   * Starts an upstream.
   *
   * @param rejectedPercent share of requests that it rejects without running them, in percent
   * @param release number of the release of its software
   */
  FakeUpstream(int number, long seed, int rejectedPercent, int release, History history)
      throws IOException {
    this.rejectedPercent = rejectedPercent;
    this.number = number;
    this.history = history;
    this.random = new SplittableRandom(seed);
    this.lifetime = new Lifetime("i-" + number + "-0", release);
    this.acceptor = new Acceptor(this::serve);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  /** Returns the current lifetime of the upstream. */
  Lifetime lifetime() {
    return lifetime;
  }

  /** Simulates a restart: changes the id and resets all connections. */
  void restart(String newId) {
    restart(newId, lifetime.release());
  }

  /** Simulates a replacement by another release: changes the id and resets all connections. */
  void restart(String newId, int release) {
    lifetime = new Lifetime(newId, release);
    acceptor.reset();
  }

  /** Begins to spoil most answers, until {@link #stopSpoiling} was called as often as this. */
  void startSpoiling() {
    spoiling.incrementAndGet();
  }

  void stopSpoiling() {
    spoiling.decrementAndGet();
  }

  /** Sets the requests per second that its answers state from now on; empty for none. */
  void stateLimit(OptionalDouble requestsPerSecond) {
    statedLimit = requestsPerSecond;
  }

  private synchronized int nextInt(int bound) {
    return random.nextInt(bound);
  }

  private void serve(Socket socket) throws IOException {
    PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
    ResponseWriter out = new ResponseWriter(socket);
    while (true) {
      HttpCodec.Head head = HttpCodec.readHead(in);
      socket.setSoTimeout(0);
      if (spoilsUpload(head)) {
        // The body stays unread, so only the head is compared with what the caller sent.
        spoilUpload(new ReceivedRequest(socket, in, out, head, CallerLoop.body(streamOf(head))));
        return;
      }
      StringBuilder body = new StringBuilder();
      HttpCodec.readBody(head, in, body::append);
      if (!handle(new ReceivedRequest(socket, in, out, head, body.toString()))) {
        return;
      }
    }
  }

  /** Returns the id of the first attempt, which is the end of the path. */
  private static RequestId streamOf(HttpCodec.Head head) {
    String path = head.secondWord();
    return new RequestId(path.substring(CallKind.of(path).pathPrefix().length()));
  }

  /** Returns whether a request is answered with something that is no answer before it is read. */
  private boolean spoilsUpload(HttpCodec.Head head) {
    return spoiling.get() > 0
        && head.line().startsWith("POST ")
        && head.field("Expected-Instance").equals(lifetime.id())
        && SpoiltAnswers.isSpoiltBeforeItsEnd(nextInt(100));
  }

  private void spoilUpload(ReceivedRequest request) throws IOException {
    long began = System.nanoTime();
    history.add(new History.Arrival(request.id(), number, began, false));
    history.add(new History.SpoiltAnswer(request.id(), "PART_BEFORE_THE_END_OF_THE_UPLOAD"));
    request.truncated = true;
    try {
      SpoiltAnswers.sendPartAndReset(request.id(), request.socket);
    } finally {
      history.add(request.run(began));
    }
  }

  /** Responds to a request; returns whether the connection stays open. */
  private boolean handle(ReceivedRequest request) throws IOException {
    long arrivedNanos = System.nanoTime();
    String expected = request.head.field("Expected-Instance");
    boolean misdirected = !expected.isEmpty() && !expected.equals(request.lifetime.id());
    history.add(new History.Arrival(request.id(), number, arrivedNanos, misdirected));
    if (misdirected) {
      request.write(421, "Not-Executed: 1\r\n", "another one answers here");
      return true;
    }
    if (spoiling.get() > 0 && SpoiltAnswers.isSpoilt(nextInt(100))) {
      return spoil(request);
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

  private boolean spoil(ReceivedRequest request) throws IOException {
    SpoiltAnswers.Kind[] kinds = SpoiltAnswers.Kind.values();
    SpoiltAnswers.Kind kind = kinds[nextInt(kinds.length)];
    int first = 1 + (int) request.head.longField("Last-Event-Id").orElse(0);
    history.add(new History.SpoiltAnswer(request.id(), kind.name()));
    long began = System.nanoTime();
    request.truncated = true;
    request.out.beginResponse();
    try {
      return SpoiltAnswers.send(kind, request.id(), request.event(first).text(), request.socket);
    } finally {
      request.out.endResponse();
      if (kind != SpoiltAnswers.Kind.NOT_EXECUTED) {
        history.add(request.run(began));
      }
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
        return respondUnusually(request, behavior, body);
      }
    }
  }

  /** Sends a whole response; a part of them is followed by a copy, or the connection by its end. */
  private boolean respondUnusually(ReceivedRequest request, int behavior, String body)
      throws IOException {
    switch (behavior) {
      case 11, 12 -> {
        request.write(200, "Response-Signature: s\r\n", body);
        // The copy may arrive while the connection is idle or just before the next response.
        String copy = request.message(200, "Response-Signature: s\r\n", body);
        var unused =
            timers.schedule(
                () -> request.out.sendBetweenResponses(copy),
                nextInt(MAX_COPY_DELAY_MILLIS),
                TimeUnit.MILLISECONDS);
        return true;
      }
      case 13, 14 -> {
        request.write(200, "Response-Signature: s\r\nConnection: close\r\n", body);
        return false;
      }
      case 15, 16 -> {
        request.write(
            200,
            "Response-Signature: s\r\nKeep-Alive: timeout=" + (1 + nextInt(60)) + "\r\n",
            body);
        request.socket.setSoTimeout(1 + nextInt(MAX_IDLE_MILLIS));
        return true;
      }
      case 17, 18 -> {
        // Unusual and valid: no reason, a field twice, odd case, spaces and an empty value.
        request.send(
            "HTTP/1.1 200 \r\nATTEMPT-ID:"
                + request.id().value()
                + "\r\nresponse-signature:   s  \r\nX-Odd:\r\nX-Odd: \t,;=\"\r\ncontent-LENGTH:"
                + body.length()
                + "\r\n\r\n"
                + body);
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
    request.out.beginResponse();
    try {
      return sendStream(request, behavior);
    } finally {
      request.out.endResponse();
    }
  }

  private boolean sendStream(ReceivedRequest request, int behavior) throws IOException {
    int last = ExpectedResponse.eventCount(request.stream());
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
      request.send(HttpCodec.encodeChunk(request.event(event).text()));
    }
    request.send("0\r\n\r\n");
    return true;
  }

  @Override
  public void close() throws IOException {
    timers.shutdownNow();
    acceptor.close();
  }

  /** A received request and its connection. */
  private final class ReceivedRequest {
    private final Socket socket;
    private final PushbackInputStream in;
    private final ResponseWriter out;
    private final HttpCodec.Head head;
    private final String body;
    private final Lifetime lifetime = FakeUpstream.this.lifetime;
    private final String run = lifetime.id() + "/" + runCount.incrementAndGet();
    private boolean truncated;

    ReceivedRequest(
        Socket socket,
        PushbackInputStream in,
        ResponseWriter out,
        HttpCodec.Head head,
        String body) {
      this.socket = socket;
      this.in = in;
      this.out = out;
      this.head = head;
      this.body = body;
    }

    RequestId id() {
      return new RequestId(head.field("Attempt-Id"));
    }

    CallKind kind() {
      return CallKind.of(head.secondWord());
    }

    RequestId stream() {
      return streamOf(head);
    }

    /** Returns whether the path is that of the request or of the first attempt at it. */
    private boolean isAttemptAt(RequestId stream) {
      return id().equals(stream) || id().value().startsWith(stream.value() + "-t");
    }

    StreamEvent event(int event) {
      return new StreamEvent(stream(), event, Documents.serviceOf(number), lifetime.version(), run);
    }

    Run run(long began) {
      boolean unaltered =
          head.field("Tenant").equals(Documents.Customer.of(id()).label())
              && head.field("Authorization").isEmpty()
              && isAttemptAt(stream())
              && body.equals(CallerLoop.body(stream()));
      return new Run(
          id(),
          kind(),
          number,
          socket.getPort(),
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
      OptionalDouble limit = statedLimit;
      if (limit.isPresent()) {
        history.add(
            new History.StatedLimit(
                id(), number, lifetime.id(), limit.getAsDouble(), System.nanoTime()));
      }
      return "HTTP/1.1 "
          + status
          + " Status\r\nAttempt-Id: "
          + id().value()
          + "\r\n"
          + (limit.isPresent() ? "Server-Limit: " + limit.getAsDouble() + "\r\n" : "")
          + fields
          + "\r\n\r\n";
    }

    void write(int status, String fields, String content) throws IOException {
      send(message(status, fields, content));
    }

    String message(int status, String fields, String content) {
      return head(status, fields + "Content-Length: " + content.length()) + content;
    }

    void send(String text) throws IOException {
      out.send(text);
    }
  }
}
