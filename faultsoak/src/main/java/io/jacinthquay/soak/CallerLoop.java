package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
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
  private static final long HALF_CLOSED_MILLIS = 1_000;
  private static final int MOST_BODY = 20_000;

  /** One of so many requests takes a new connection although the old one is open. */
  private static final int FRESH_ONE_IN = 4;

  /** One of so many callers leaves before the end. */
  private static final int LEAVE_ONE_IN = 6;

  /** One of so many requests is followed by another before its answer has come. */
  private static final int PAIR_ONE_IN = 15;

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

  /** Sends one request, or two at once, and reads the answers in their order. */
  private void call(CallKind kind) throws IOException {
    connect();
    long waitMillis = LEAST_WAIT_MILLIS + random.nextInt(MORE_WAIT_MILLIS);
    boolean leaves = random.nextInt(LEAVE_ONE_IN) == 0;
    long stayMillis = leaves ? random.nextInt(MOST_STAY_MILLIS) : waitMillis;
    Patience patience = new Patience(kept, stayMillis);
    List<Exchange> exchanges = new ArrayList<>();
    exchanges.add(new Exchange(kind, waitMillis));
    if (random.nextInt(PAIR_ONE_IN) == 0) {
      exchanges.add(new Exchange(CallKind.SAFE, waitMillis));
    }
    exchanges.forEach(Exchange::send);
    InputStream in = new BufferedInputStream(patience);
    boolean goesOn = true;
    for (Exchange exchange : exchanges) {
      Call call = exchange.finish(in, goesOn, patience);
      goesOn &= call.ending() == Call.Ending.ANSWERED && !exchange.closes;
      history.add(call);
      if (call.isSuccess()) {
        latencies.recordValue(
            TimeUnit.NANOSECONDS.toMicros(Math.max(0, call.endNanos() - call.sentNanos())));
      }
    }
    if (goesOn && in.available() > 0) {
      history.addStray("caller " + number + " got more than its answers from router " + keptRouter);
    }
    if (!goesOn) {
      leave();
    }
  }

  /** Ends the connection, in one of three ways. */
  private void leave() throws IOException {
    Socket socket = kept;
    kept = null;
    switch (random.nextInt(3)) {
      case 0 -> Acceptor.reset(socket);
      case 1 -> closeHalf(socket);
      default -> socket.close();
    }
  }

  /** Ends the caller's own direction, and goes on reading until the router ends the other. */
  private static void closeHalf(Socket socket) throws IOException {
    try (socket) {
      socket.shutdownOutput();
      Patience patience = new Patience(socket, HALF_CLOSED_MILLIS);
      while (patience.read() >= 0) {
        // What still comes is judged by nobody: the caller counts as gone.
      }
    }
  }

  /** Reads from a connection until the caller doesn't want to stay. */
  private static final class Patience extends InputStream {
    private final Socket from;
    private final long untilNanos;

    Patience(Socket from, long millis) {
      this.from = from;
      this.untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    boolean isOver() {
      return System.nanoTime() - untilNanos >= 0;
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

  /** One request and its answer. */
  private final class Exchange {
    private final RequestId id;
    private final CallKind kind;
    private final long waitMillis;
    private final int router = keptRouter;
    private final Socket socket = kept;
    private final int port = kept.getLocalPort();
    private final StringBuilder body = new StringBuilder();
    private int status;
    private boolean closes;
    private boolean sendFailed;
    private long sentNanos;

    Exchange(CallKind kind, long waitMillis) {
      sent++;
      this.id = new RequestId("c" + number + "-" + sent);
      this.kind = kind;
      this.waitMillis = waitMillis;
    }

    void send() {
      try {
        write();
      } catch (IOException e) {
        log.debug("request {} could not be sent: {}", id, e.getMessage());
        sendFailed = true;
      }
      sentNanos = System.nanoTime();
    }

    /** Reads the answer, if the connection goes on. */
    Call finish(InputStream in, boolean goesOn, Patience patience) {
      Call.Ending ending = patience.isOver() ? Call.Ending.LEFT : Call.Ending.BROKEN;
      if (goesOn && !sendFailed) {
        try {
          read(in);
          ending = Call.Ending.ANSWERED;
        } catch (SocketTimeoutException e) {
          ending = Call.Ending.LEFT;
        } catch (IOException | NumberFormatException e) {
          log.debug("request {} broke off: {}", id, e.getMessage());
        }
      }
      return new Call(
          id,
          kind,
          router,
          port,
          sentNanos,
          System.nanoTime(),
          ending,
          status,
          body.toString(),
          waitMillis);
    }

    private void write() throws IOException {
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
              + Documents.Customer.of(id).key()
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

    private void read(InputStream in) throws IOException {
      boolean slow = random.nextInt(SLOW_ONE_IN) == 0;
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
    }

    private void sleep() throws IOException {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_PAUSE_MILLIS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("the caller ends", e);
      }
    }
  }
}
