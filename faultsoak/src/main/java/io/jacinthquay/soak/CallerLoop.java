package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Recorder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One caller: sends requests one after the other, keeps connections until they end, and leaves
 * before the end now and then.
 */
final class CallerLoop implements Runnable {
  private static final Logger log = LogManager.getLogger();
  private static final int CONNECT_MILLIS = 1_000;
  private static final int MOST_PAUSE_MILLIS = 40;
  private static final int MOST_STAY_MILLIS = 400;
  private static final int LEAST_WAIT_MILLIS = 800;
  private static final int MORE_WAIT_MILLIS = 4_000;
  private static final int MOST_BODY = 20_000;

  /** One of so many requests that keep a connection is not followed by another on it. */
  private static final int FRESH_ONE_IN = 4;

  /** One of so many callers leaves before the end. */
  private static final int LEAVE_ONE_IN = 6;

  /** One of so many answers is read slowly. */
  private static final int SLOW_ONE_IN = 20;

  private final int number;
  private final List<InetSocketAddress> routers;
  private final History history;
  private final SplittableRandom random;
  private final BooleanSupplier goesOn;
  private final Recorder latencies;
  private Socket kept;
  private int keptRouter;
  private int sent;

  CallerLoop(
      int number,
      List<InetSocketAddress> routers,
      History history,
      SplittableRandom random,
      BooleanSupplier goesOn,
      Recorder latencies) {
    this.number = number;
    this.routers = List.copyOf(routers);
    this.history = history;
    this.random = random;
    this.goesOn = goesOn;
    this.latencies = latencies;
  }

  /** Returns the body that the caller of a request sends. */
  static String body(RequestId id) {
    int bytes = Math.floorMod(id.value().hashCode(), MOST_BODY);
    return bytes % 3 == 0 ? "" : "request " + id.value() + " " + "y".repeat(bytes);
  }

  @Override
  public void run() {
    while (goesOn.getAsBoolean()) {
      CallKind kind = CallKind.values()[random.nextInt(CallKind.values().length)];
      try {
        call(kind);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_PAUSE_MILLIS));
      } catch (IOException e) {
        log.debug("caller {} could not send: {}", number, e.getMessage());
        drop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        drop();
        return;
      }
    }
    drop();
  }

  private void drop() {
    if (kept != null) {
      Acceptor.reset(kept);
      kept = null;
    }
  }

  private void connect() throws IOException {
    if (kept != null && random.nextInt(FRESH_ONE_IN) > 0) {
      return;
    }
    drop();
    keptRouter = random.nextInt(routers.size());
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(routers.get(keptRouter), CONNECT_MILLIS);
    kept = socket;
  }

  private void call(CallKind kind) throws IOException {
    connect();
    sent++;
    RequestId id = new RequestId("c" + number + "-" + sent);
    Exchange exchange = new Exchange(id, kind, keptRouter, kept);
    long waitMillis = LEAST_WAIT_MILLIS + random.nextInt(MORE_WAIT_MILLIS);
    boolean leaves = random.nextInt(LEAVE_ONE_IN) == 0;
    long stayMillis = leaves ? random.nextInt(MOST_STAY_MILLIS) : waitMillis;
    Call call = exchange.play(waitMillis, stayMillis);
    history.add(call);
    if (call.isSuccess()) {
      latencies.recordValue(
          TimeUnit.NANOSECONDS.toMicros(Math.max(0, call.endNanos() - call.sentNanos())));
    }
    if (call.ending() != Call.Ending.ANSWERED || exchange.closes) {
      kept = null;
    }
  }

  /** One request and its answer. */
  private final class Exchange {
    private final RequestId id;
    private final CallKind kind;
    private final int router;
    private final Socket socket;
    private final StringBuilder body = new StringBuilder();
    private int status;
    private boolean closes;
    private long untilNanos;

    Exchange(RequestId id, CallKind kind, int router, Socket socket) {
      this.id = id;
      this.kind = kind;
      this.router = router;
      this.socket = socket;
    }

    Call play(long waitMillis, long stayMillis) {
      long sentNanos = System.nanoTime();
      untilNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(stayMillis);
      Call.Ending ending = Call.Ending.BROKEN;
      try {
        send(waitMillis);
        sentNanos = System.nanoTime();
        read();
        ending = Call.Ending.ANSWERED;
      } catch (SocketTimeoutException e) {
        ending = Call.Ending.LEFT;
      } catch (IOException | NumberFormatException e) {
        log.debug("request {} broke off: {}", id, e.getMessage());
      }
      long endNanos = System.nanoTime();
      if (ending != Call.Ending.ANSWERED) {
        leave();
      }
      return new Call(
          id, kind, router, sentNanos, endNanos, ending, status, body.toString(), waitMillis);
    }

    private void leave() {
      if (random.nextBoolean()) {
        Acceptor.reset(socket);
        return;
      }
      try {
        socket.close();
      } catch (IOException e) {
        log.debug("request {} could not leave: {}", id, e.getMessage());
      }
    }

    private void send(long waitMillis) throws IOException {
      String content = body(id);
      boolean chunked = !content.isEmpty() && random.nextInt(3) == 0;
      String head =
          (content.isEmpty() ? "GET " : "POST ")
              + kind.prefix()
              + id.value()
              + " HTTP/1.1\r\nHost: "
              + Documents.HOST
              + "\r\nAttempt-Id: "
              + id.value()
              + "\r\nAuthorization: Bearer "
              + Documents.KEY
              + "\r\nDeadline-Ms: "
              + waitMillis
              + "\r\n";
      OutputStream out = socket.getOutputStream();
      if (content.isEmpty()) {
        out.write(HttpWire.bytes(head + "\r\n"));
      } else if (chunked) {
        out.write(HttpWire.bytes(head + "Transfer-Encoding: chunked\r\n\r\n"));
        int middle = random.nextInt(1, content.length());
        out.write(HttpWire.bytes(HttpWire.chunk(content.substring(0, middle))));
        out.write(HttpWire.bytes(HttpWire.chunk(content.substring(middle)) + "0\r\n\r\n"));
      } else {
        out.write(HttpWire.bytes(head + "Content-Length: " + content.length() + "\r\n\r\n"));
        out.write(HttpWire.bytes(content));
      }
    }

    private void read() throws IOException {
      boolean slow = random.nextInt(SLOW_ONE_IN) == 0;
      InputStream in = new BufferedInputStream(new Watched(socket));
      HttpWire.Head head = HttpWire.head(in);
      status = Integer.parseInt(head.second());
      closes = head.field("Connection").equalsIgnoreCase("close");
      String echoed = head.field("Attempt-Id");
      if (!echoed.isEmpty() && !echoed.equals(id.value())) {
        history.addStray(id.value() + " got the answer to " + echoed);
      }
      HttpWire.body(
          head,
          in,
          part -> {
            body.append(part);
            if (slow) {
              sleep();
            }
          });
      if (in.available() > 0) {
        history.addStray(id.value() + " got more than its answer from router " + router);
      }
    }

    private void sleep() throws IOException {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_PAUSE_MILLIS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("the caller ends", e);
      }
    }

    /** Gives up once the caller doesn't want to stay. */
    private final class Watched extends InputStream {
      private final Socket from;

      Watched(Socket from) {
        this.from = from;
      }

      private void limit() throws IOException {
        long left = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
        if (left <= 0) {
          throw new SocketTimeoutException("the caller leaves");
        }
        from.setSoTimeout((int) left);
      }

      @Override
      public int read() throws IOException {
        limit();
        return from.getInputStream().read();
      }

      @Override
      public int read(byte[] target, int offset, int length) throws IOException {
        limit();
        return from.getInputStream().read(target, offset, length);
      }

      @Override
      public int available() throws IOException {
        return from.getInputStream().available();
      }
    }
  }
}
