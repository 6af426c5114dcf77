package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** An upstream that answers as its seed says, in part wrongly, and writes down each run. */
final class StandInUpstream implements AutoCloseable {
  private static final int MOST_WORK_MILLIS = 80;
  private static final int LONG_WORK_MILLIS = 2_500;
  private static final int MOST_GAP_MILLIS = 60;

  /** Longer than any caller waits. */
  private static final int STALL_MILLIS = 60_000;

  private final int number;
  private final History history;
  private final SplittableRandom random;
  private final Acceptor acceptor;
  private volatile String id;

  StandInUpstream(int number, long seed, History history) throws IOException {
    this.number = number;
    this.history = history;
    this.random = new SplittableRandom(seed);
    this.id = "i-" + number + "-0";
    this.acceptor = new Acceptor(this::serve);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  /** Returns the id of the present run of the upstream. */
  String id() {
    return id;
  }

  /** Begins anew under another id; all connections end. */
  void restart(String newId) {
    id = newId;
    acceptor.reset();
  }

  private synchronized int draw(int bound) {
    return random.nextInt(bound);
  }

  private void serve(Socket socket) throws IOException {
    PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
    while (true) {
      HttpWire.Head head = HttpWire.head(in);
      StringBuilder body = new StringBuilder();
      HttpWire.body(head, in, body::append);
      if (!answer(new Work(socket, in, head, body.toString()))) {
        return;
      }
    }
  }

  /** Returns whether the connection goes on. */
  private boolean answer(Work work) throws IOException {
    String expected = work.head.field("Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      work.write(421, "Not-Executed: 1\r\n", "another one answers here");
      return true;
    }
    int fate = draw(100);
    if (fate < 2) {
      work.write(503, "Not-Executed: 1\r\n", "full");
      return true;
    }
    long began = System.nanoTime();
    try {
      return work.kind().isStream() ? stream(work, fate) : whole(work, fate);
    } finally {
      history.add(work.run(began));
    }
  }

  private boolean whole(Work work, int fate) throws IOException {
    if (!work.pause(fate < 5 ? LONG_WORK_MILLIS : 1 + draw(MOST_WORK_MILLIS))) {
      return false;
    }
    String body = Expected.body(work.id());
    switch (fate) {
      case 5, 6 -> {
        work.write(500, "Response-Signature: s\r\n", "failed");
        return true;
      }
      case 7 -> {
        work.send(work.head(200, "Response-Signature: s\r\nContent-Length: " + body.length()));
        work.send(body.substring(0, body.length() / 2));
        work.brokeOff = true;
        return false;
      }
      case 8 -> {
        work.breakOff();
        return false;
      }
      case 9, 10 -> {
        work.write(200, "Response-Signature: s\r\n", body);
        // A second copy of the answer, which nobody asked for.
        sleep(draw(20));
        work.write(200, "Response-Signature: s\r\n", body);
        return true;
      }
      default -> {
        work.write(200, "Response-Signature: s\r\n", body);
        return true;
      }
    }
  }

  private static void sleep(long millis) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the upstream ends", e);
    }
  }

  private boolean stream(Work work, int fate) throws IOException {
    int last = Expected.events(work.id());
    int first = 1 + (int) work.head.number("Last-Event-Id").orElse(0);
    if (!work.pause(1 + draw(MOST_WORK_MILLIS))) {
      return false;
    }
    work.send(
        work.head(
            200,
            "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked"));
    int stop = fate < 8 ? first + draw(last) : Integer.MAX_VALUE;
    for (int event = first; event <= last; event++) {
      if (event == stop && fate < 5) {
        work.breakOff();
        return false;
      }
      if (!work.pause(event == stop ? STALL_MILLIS : draw(MOST_GAP_MILLIS))) {
        return false;
      }
      work.send(HttpWire.chunk(Expected.event(work.id(), event)));
    }
    work.send("0\r\n\r\n");
    return true;
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }

  /** One request on its connection. */
  private final class Work {
    private final Socket socket;
    private final PushbackInputStream in;
    private final HttpWire.Head head;
    private final String body;
    private boolean brokeOff;

    Work(Socket socket, PushbackInputStream in, HttpWire.Head head, String body) {
      this.socket = socket;
      this.in = in;
      this.head = head;
      this.body = body;
    }

    RequestId id() {
      return new RequestId(head.field("Attempt-Id"));
    }

    CallKind kind() {
      return CallKind.of(head.second());
    }

    Run run(long began) {
      boolean proper =
          head.field("Tenant").equals(Documents.Customer.of(id()).label())
              && head.field("Authorization").isEmpty()
              && body.equals(CallerLoop.body(id()));
      return new Run(
          id(),
          kind(),
          number,
          began,
          System.nanoTime(),
          head.number("Deadline-Ms").orElse(-1),
          proper,
          brokeOff);
    }

    void breakOff() {
      brokeOff = true;
      Acceptor.reset(socket);
    }

    /** Works for a time; returns false if the connection ended meanwhile. */
    boolean pause(int millis) throws IOException {
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
      long left = millis;
      while (left > 0) {
        socket.setSoTimeout((int) left);
        try {
          int next = in.read();
          if (next < 0) {
            return false;
          }
          in.unread(next);
          history.addStray(
              "upstream " + number + " got more before it had answered " + id().value());
          return false;
        } catch (SocketTimeoutException e) {
          left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
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
      socket.getOutputStream().write(HttpWire.bytes(text));
    }
  }
}
