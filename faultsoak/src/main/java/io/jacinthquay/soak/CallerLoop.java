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
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Recorder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A caller that sends one request after another. It reuses connections, sometimes pipelines two
 * requests, and sometimes disconnects before the response is complete.
 */
final class CallerLoop implements Runnable {
  private static final Logger log = LogManager.getLogger();
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_PAUSE_MILLIS = 40;

  /** Bound on the time after which a caller disconnects early. */
  private static final int MAX_STAY_MILLIS = 400;

  private static final int MIN_WAIT_MILLIS = 800;
  private static final int WAIT_RANGE_MILLIS = 4_000;

  /** Additional time for a stream that may be taken up, so that routers can be back within it. */
  private static final int RESUMABLE_WAIT_MILLIS = 3_000;

  /** Times that a stream is taken up at most. */
  private static final int MAX_TAKE_UPS = 3;

  private static final int MAX_TAKE_UP_PAUSE_MILLIS = 1_500;

  /** A stream is not taken up if its caller waits for less than this. */
  private static final long MIN_TAKE_UP_MILLIS = 200;

  /** Callers wait this part of the time that they have left at most before they try again. */
  private static final int RETRY_AFTER_PART = 3;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Time to read on after closing the caller's own direction of a connection. */
  private static final long HALF_CLOSED_LIMIT_MILLIS = 1_000;

  private static final int MAX_BODY_BYTES = 20_000;

  /** One request in this many opens a new connection although the previous one is open. */
  private static final int NEW_CONNECTION_ONE_IN = 4;

  /** One connection in this many is closed before the response is complete. */
  private static final int EARLY_DISCONNECT_ONE_IN = 6;

  /** One request in this many is pipelined: another is sent before its response has arrived. */
  private static final int PIPELINED_ONE_IN = 15;

  /** One response in this many is read slowly. */
  private static final int SLOW_READ_ONE_IN = 20;

  private final int number;
  private final List<InetSocketAddress> routers;
  private final History history;
  private final SplittableRandom random;
  private final BooleanSupplier keepRunning;
  private final Recorder latencies;
  private Socket connection;
  private int connectionRouter;
  private int sentCount;

  /** The latest stream of each customer that has begun. */
  private final Map<Documents.Customer, RequestId> begunStreams =
      new EnumMap<>(Documents.Customer.class);

  CallerLoop(
      int number,
      List<InetSocketAddress> routers,
      History history,
      SplittableRandom random,
      BooleanSupplier keepRunning,
      Recorder latencies) {
    this.number = number;
    this.routers = List.copyOf(routers);
    this.history = history;
    this.random = random;
    this.keepRunning = keepRunning;
    this.latencies = latencies;
  }

  /** Returns the body of a request; it depends only on the id, and is empty for some. */
  static String body(RequestId id) {
    int bytes = Math.floorMod(id.value().hashCode(), MAX_BODY_BYTES);
    return bytes % 3 == 0 ? "" : "request " + id.value() + " " + "y".repeat(bytes);
  }

  @Override
  public void run() {
    while (keepRunning.getAsBoolean()) {
      CallKind kind = CallKind.values()[random.nextInt(CallKind.values().length)];
      try {
        Exchange exchange = call(kind);
        if (kind.isResumable()) {
          takeUp(exchange.call, exchange.retryAfterMillis);
        }
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      } catch (IOException e) {
        log.debug("caller {} could not send a request: {}", number, e.getMessage());
        resetConnection();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        resetConnection();
        return;
      }
    }
    resetConnection();
  }

  private void resetConnection() {
    if (connection != null) {
      Acceptor.reset(connection);
      connection = null;
    }
  }

  private void connect() throws IOException {
    if (connection == null || random.nextInt(NEW_CONNECTION_ONE_IN) == 0) {
      connectAnew();
    }
  }

  private void connectAnew() throws IOException {
    resetConnection();
    connectionRouter = random.nextInt(routers.size());
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(routers.get(connectionRouter), CONNECT_TIMEOUT_MILLIS);
    connection = socket;
  }

  /** Sends one request, or two pipelined, and reads the responses; returns the first exchange. */
  private Exchange call(CallKind kind) throws IOException {
    connect();
    long waitMillis =
        MIN_WAIT_MILLIS
            + random.nextInt(WAIT_RANGE_MILLIS)
            + (kind.isResumable() ? RESUMABLE_WAIT_MILLIS : 0);
    boolean disconnectsEarly = random.nextInt(EARLY_DISCONNECT_ONE_IN) == 0;
    long stayMillis = disconnectsEarly ? random.nextInt(MAX_STAY_MILLIS) : waitMillis;
    List<Exchange> exchanges = new ArrayList<>();
    exchanges.add(new Exchange(kind, waitMillis));
    if (random.nextInt(PIPELINED_ONE_IN) == 0) {
      exchanges.add(new Exchange(CallKind.SAFE, waitMillis));
    }
    exchange(exchanges, stayMillis);
    return exchanges.get(0);
  }

  /** Sends requests one behind the other, and reads the responses in order. */
  private void exchange(List<Exchange> exchanges, long stayMillis) {
    TimeLimitedInput limitedInput = new TimeLimitedInput(connection, stayMillis);
    exchanges.forEach(Exchange::send);
    InputStream in = new BufferedInputStream(limitedInput);
    boolean connectionOpen = true;
    boolean left = false;
    for (Exchange exchange : exchanges) {
      Call call = exchange.finish(in, connectionOpen, left || limitedInput.isExpired());
      left |= call.ending() == Call.Ending.LEFT;
      connectionOpen &= call.ending() == Call.Ending.ANSWERED && !exchange.closesConnection;
      history.add(call);
      if (call.isSuccess()) {
        latencies.recordValue(
            TimeUnit.NANOSECONDS.toMicros(Math.max(0, call.endNanos() - call.sentNanos())));
      }
    }
    try {
      if (connectionOpen && in.available() > 0) {
        history.addUnexpected(
            "caller " + number + " got more than its answers from router " + connectionRouter);
      }
      if (!connectionOpen) {
        closeConnection();
      }
    } catch (IOException e) {
      // The answers have been recorded, and a router that resets the connection changes none.
      log.debug("caller {} could not close a connection: {}", number, e.getMessage());
      resetConnection();
    }
  }

  /** Goes on with a stream that broke off, as long as its caller waits for it. */
  private void takeUp(Call first, long retryAfterMillis) throws InterruptedException {
    StreamTries tries = new StreamTries(first);
    tries.firstEventAttempt().ifPresent(id -> begunStreams.put(Documents.Customer.of(id), id));
    if (!tries.hasBrokenOff()) {
      return;
    }
    TakeUp.Named named = drawNamed();
    long waitMillis = retryAfterMillis;
    for (int i = 1; i <= MAX_TAKE_UPS && tries.isUnfinished(); i++) {
      long pauseMillis =
          Math.max(
              1 + random.nextInt(MAX_TAKE_UP_PAUSE_MILLIS),
              Math.min(waitMillis, millisLeft(first) / RETRY_AFTER_PART));
      TimeUnit.MILLISECONDS.sleep(pauseMillis);
      long leftMillis = millisLeft(first);
      if (leftMillis < MIN_TAKE_UP_MILLIS || !keepRunning.getAsBoolean()) {
        return;
      }
      try {
        connectAnew();
        Exchange exchange = new Exchange(tries, i, named, leftMillis);
        exchange(List.of(exchange), leftMillis);
        tries.add(exchange.call);
        waitMillis = exchange.retryAfterMillis;
      } catch (IOException e) {
        log.debug("stream {} could not be taken up: {}", first.id(), e.getMessage());
        resetConnection();
      }
    }
  }

  private static long millisLeft(Call first) {
    return first.waitMillis()
        - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - first.sentNanos());
  }

  /** Draws the attempt that a caller names; most name the one that brought the first event. */
  private TakeUp.Named drawNamed() {
    return switch (random.nextInt(10)) {
      case 0 -> TakeUp.Named.NOTHING;
      case 1 -> TakeUp.Named.UNKNOWN;
      case 2 -> TakeUp.Named.OTHER_CUSTOMER;
      default -> TakeUp.Named.FIRST_EVENT;
    };
  }

  /** Returns the attempt that a further one names as the one that brought the first event. */
  private Optional<RequestId> namedAttempt(StreamTries tries, TakeUp.Named named) {
    RequestId unknown = new RequestId(tries.stream().value() + "-never");
    return switch (named) {
      case FIRST_EVENT -> tries.firstEventAttempt();
      case NOTHING -> Optional.empty();
      case UNKNOWN -> Optional.of(unknown);
      case OTHER_CUSTOMER ->
          Optional.of(
              begunStreams.entrySet().stream()
                  .filter(begun -> begun.getKey() != Documents.Customer.of(tries.stream()))
                  .map(Map.Entry::getValue)
                  .findFirst()
                  .orElse(unknown));
    };
  }

  /** Closes the connection by a reset, a half-close or a normal close, chosen at random. */
  private void closeConnection() throws IOException {
    Socket socket = connection;
    connection = null;
    switch (random.nextInt(3)) {
      case 0 -> Acceptor.reset(socket);
      case 1 -> halfClose(socket);
      default -> socket.close();
    }
  }

  /** Closes the caller's own direction and reads until the router closes the other. */
  private static void halfClose(Socket socket) throws IOException {
    try (socket) {
      socket.shutdownOutput();
      TimeLimitedInput limitedInput = new TimeLimitedInput(socket, HALF_CLOSED_LIMIT_MILLIS);
      while (limitedInput.read() >= 0) {
        // Ignores what still arrives: the caller already counts as disconnected.
      }
    }
  }

  /** Reads from a socket until a time limit. */
  private static final class TimeLimitedInput extends InputStream {
    private final Socket from;
    private final long untilNanos;

    TimeLimitedInput(Socket from, long millis) {
      this.from = from;
      this.untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    boolean isExpired() {
      return System.nanoTime() - untilNanos >= 0;
    }

    private void setReadTimeout() throws IOException {
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
      if (remainingMillis <= 0) {
        throw new SocketTimeoutException("the time limit of the caller is over");
      }
      from.setSoTimeout((int) remainingMillis);
    }

    @Override
    public int read() throws IOException {
      setReadTimeout();
      return from.getInputStream().read();
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
      setReadTimeout();
      return from.getInputStream().read(target, offset, length);
    }

    @Override
    public int available() throws IOException {
      return from.getInputStream().available();
    }
  }

  /** One request and its response. */
  private final class Exchange {
    private final RequestId id;
    private final CallKind kind;
    private final long waitMillis;
    private final Optional<TakeUp> takeUp;
    private final String streamFields;
    private final int router = connectionRouter;
    private final Socket socket = connection;
    private final int port = connection.getLocalPort();
    private final StringBuilder body = new StringBuilder();
    private int status;
    private boolean closesConnection;
    private boolean sendFailed;
    private long sentNanos;
    private long retryAfterMillis;
    private Call call;

    Exchange(CallKind kind, long waitMillis) {
      sentCount++;
      this.id = new RequestId("c" + number + "-" + sentCount);
      this.kind = kind;
      this.waitMillis = waitMillis;
      this.takeUp = Optional.empty();
      this.streamFields = "";
    }

    /** Creates a further attempt at a stream. */
    Exchange(StreamTries tries, int attempt, TakeUp.Named named, long waitMillis) {
      this.id = tries.nextAttempt(attempt);
      this.kind = CallKind.RESUME;
      this.waitMillis = waitMillis;
      this.takeUp = Optional.of(new TakeUp(tries.stream(), tries.lastEvent(), named));
      this.streamFields =
          takeUp.get().startsAnew()
              ? ""
              : "Last-Event-Id: "
                  + tries.lastEvent()
                  + "\r\n"
                  + namedAttempt(tries, named)
                      .map(resumed -> "Resumes: " + resumed.value() + "\r\n")
                      .orElse("");
    }

    private RequestId stream() {
      return takeUp.map(TakeUp::stream).orElse(id);
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

    /** Reads the response if the connection is open, and returns what the caller saw. */
    Call finish(InputStream in, boolean connectionOpen, boolean left) {
      Call.Ending ending = left ? Call.Ending.LEFT : Call.Ending.BROKEN;
      if (connectionOpen && !sendFailed) {
        try {
          read(in);
          ending = Call.Ending.ANSWERED;
        } catch (SocketTimeoutException e) {
          ending = Call.Ending.LEFT;
        } catch (IOException | NumberFormatException e) {
          log.debug("the response to request {} broke off: {}", id, e.getMessage());
        }
      }
      call =
          new Call(
              id,
              kind,
              router,
              port,
              sentNanos,
              System.nanoTime(),
              ending,
              status,
              body.toString(),
              waitMillis,
              takeUp);
      return call;
    }

    private void write() throws IOException {
      String content = body(stream());
      boolean chunked = !content.isEmpty() && random.nextInt(3) == 0;
      String head =
          (content.isEmpty() ? "GET " : "POST ")
              + kind.pathPrefix()
              + stream().value()
              + " HTTP/1.1\r\nHost: "
              + Documents.HOST
              + "\r\nAttempt-Id: "
              + id.value()
              + "\r\nAuthorization: Bearer "
              + Documents.Customer.of(id).key()
              + "\r\nDeadline-Ms: "
              + waitMillis
              + "\r\n"
              + streamFields;
      OutputStream out = socket.getOutputStream();
      if (content.isEmpty()) {
        out.write(HttpCodec.encode(head + "\r\n"));
      } else if (chunked) {
        out.write(HttpCodec.encode(head + "Transfer-Encoding: chunked\r\n\r\n"));
        int middle = random.nextInt(1, content.length());
        out.write(HttpCodec.encode(HttpCodec.encodeChunk(content.substring(0, middle))));
        out.write(HttpCodec.encode(HttpCodec.encodeChunk(content.substring(middle)) + "0\r\n\r\n"));
      } else {
        out.write(HttpCodec.encode(head + "Content-Length: " + content.length() + "\r\n\r\n"));
        out.write(HttpCodec.encode(content));
      }
    }

    private void read(InputStream in) throws IOException {
      boolean slow = random.nextInt(SLOW_READ_ONE_IN) == 0;
      HttpCodec.Head head = HttpCodec.readHead(in);
      status = status(head.secondWord());
      retryAfterMillis = retryAfterMillis(head.field("Retry-After"));
      closesConnection = head.field("Connection").equalsIgnoreCase("close");
      String echoedId = head.field("Attempt-Id");
      if (!echoedId.isEmpty() && !echoedId.equals(id.value())) {
        history.addUnexpected(id.value() + " got the answer to " + echoedId);
      }
      HttpCodec.readBody(
          head,
          in,
          part -> {
            body.append(part);
            if (slow) {
              sleep();
            }
          });
    }

    /** Returns a status, which has three digits. */
    private int status(String text) {
      if (!text.matches("\\d{3}")) {
        history.addUnexpected(id.value() + " got the status " + text);
      }
      return Integer.parseInt(text);
    }

    private long retryAfterMillis(String text) {
      return text.isEmpty() ? 0 : Math.round(Double.parseDouble(text) * MILLIS_PER_SECOND);
    }

    private void sleep() throws IOException {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("the caller was interrupted", e);
      }
    }
  }
}
