package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.runtime.Service;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;

/** Listens for callers over HTTP/1.1. */
public final class CallerServer implements Service {
  private static final Logger log = LogManager.getLogger();

  /** How much larger a head may be than the limit and still get a numbered refusal. */
  private static final int HEAD_ALLOWANCE = 4;

  private static final int BACKLOG = 1_024;
  private static final int MAX_HEADERS = 200;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int STOP_SECONDS = 5;

  private static final String TOO_MANY_BODY =
      "{\"error\":{\"code\":1008,\"name\":\"TOO_MANY_CONNECTIONS\",\"message\":"
          + "\"The router holds as many connections as it may.\",\"outcome\":\"not-run\"}}";

  private static final byte[] TOO_MANY =
      ("HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n"
              + "x-jq-outcome: not-run\r\nconnection: close\r\ncontent-length: "
              + TOO_MANY_BODY.length()
              + "\r\n\r\n"
              + TOO_MANY_BODY)
          .getBytes(StandardCharsets.US_ASCII);

  private final InetSocketAddress address;
  private final int ioThreads;
  private final ListenerLimits limits;
  private final RequestIntake intake;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private final IdleConnections idle = new IdleConnections();
  private final BodyMemory memory;
  private final AtomicInteger connections = new AtomicInteger();
  private XnioWorker worker;
  private HttpOpenListener http;
  private AcceptingChannel<StreamConnection> listener;

  /**
   * Returns a server.
   *
   * @param address where to listen; port 0 takes a free one
   * @param ioThreads threads that carry all requests, 1 or more
   * @param limits protection against bad input
   * @param intake takes the requests
   */
  public CallerServer(
      InetSocketAddress address, int ioThreads, ListenerLimits limits, RequestIntake intake) {
    this.address = address;
    this.ioThreads = ioThreads;
    this.limits = limits;
    this.intake = intake;
    this.memory = new BodyMemory(limits.maxBufferedBytes());
  }

  @Override
  public void start() {
    http = new HttpOpenListener(buffers, serverOptions());
    http.setRootHandler(new CallerHandler(intake, limits, memory, idle));
    try {
      worker = Xnio.getInstance().createWorker(workerOptions());
      listener =
          worker.createStreamConnectionServer(
              address, ChannelListeners.openListenerAdapter(this::accepted), socketOptions());
      listener.resumeAccepts();
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
  }

  private OptionMap workerOptions() {
    return OptionMap.builder()
        .set(Options.WORKER_IO_THREADS, ioThreads)
        .set(Options.WORKER_TASK_CORE_THREADS, 1)
        .set(Options.WORKER_TASK_MAX_THREADS, 1)
        .set(Options.WORKER_NAME, "caller")
        .set(Options.TCP_NODELAY, true)
        .getMap();
  }

  private static OptionMap socketOptions() {
    return OptionMap.builder()
        .set(Options.TCP_NODELAY, true)
        .set(Options.REUSE_ADDRESSES, true)
        .set(Options.BACKLOG, BACKLOG)
        .getMap();
  }

  private OptionMap serverOptions() {
    return OptionMap.builder()
        .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeadBytes() * HEAD_ALLOWANCE)
        .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headMillis())
        .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMillis())
        .set(UndertowOptions.ALWAYS_SET_DATE, false)
        .getMap();
  }

  private void accepted(StreamConnection connection) {
    if (connections.incrementAndGet() > limits.maxConnections()) {
      connections.decrementAndGet();
      refuse(connection);
      return;
    }
    ConduitStreamSourceChannel source = connection.getSourceChannel();
    ReadAhead ahead = new ReadAhead(memory, limits.maxHeadBytes() + limits.maxBodyBytes());
    WatchedSource watched =
        new WatchedSource(source.getConduit(), ahead, () -> IoUtils.safeClose(connection));
    watched.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(source));
    source.setConduit(watched);
    http.handleEvent(connection);
    ChannelListener<? super StreamConnection> onClose = connection.getCloseListener();
    connection.setCloseListener(
        closed -> {
          connections.decrementAndGet();
          forget(ahead, connection.getIoThread());
          ChannelListeners.invokeChannelListener(closed, onClose);
        });
  }

  /** A connection may be closed by any thread. */
  private static void forget(ReadAhead ahead, XnioIoThread thread) {
    if (Thread.currentThread() == thread) {
      ahead.clear();
      return;
    }
    try {
      thread.execute(ahead::clear);
    } catch (RejectedExecutionException e) {
      log.debug("bytes that were read ahead are dropped with their thread: {}", e.getMessage());
    }
  }

  private static void refuse(StreamConnection connection) {
    try {
      int written = connection.getSinkChannel().write(ByteBuffer.wrap(TOO_MANY));
      log.debug("a connection too many was refused with {} bytes", written);
    } catch (IOException e) {
      log.debug("a connection too many was closed: {}", e.getMessage());
    }
    IoUtils.safeClose(connection);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return listener.getLocalAddress(InetSocketAddress.class).getPort();
  }

  /** Returns the first I/O thread; the only one where the server has one. */
  public EventThread thread() {
    return new IoThread(worker.getIoThread(0));
  }

  /**
   * Serves a second address on the same threads.
   *
   * @param second where to listen
   * @param other takes the requests of that address
   * @throws IllegalStateException if the address can't be listened on
   */
  public void alsoServe(InetSocketAddress second, RequestIntake other) {
    HttpOpenListener open = new HttpOpenListener(buffers, serverOptions());
    open.setRootHandler(new CallerHandler(other, limits, memory, idle));
    try {
      worker
          .createStreamConnectionServer(
              second, ChannelListeners.openListenerAdapter(open::handleEvent), socketOptions())
          .resumeAccepts();
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen on " + second + ": " + e.getMessage(), e);
    }
  }

  /** Closes connections that carry no request, and others after their answer. */
  public void closeIdle() {
    idle.leave();
  }

  /** Returns how many requests are being read or answered, refused ones included. */
  public int requestsInProgress() {
    return idle.busy();
  }

  /** Takes no further connections; those that are open go on. */
  public void stopAccepting() {
    if (listener.isOpen()) {
      IoUtils.safeClose(listener);
    }
  }

  @Override
  public void stop() {
    if (worker == null || worker.isShutdown()) {
      return;
    }
    stopAccepting();
    http.closeConnections();
    List<Runnable> unused = worker.shutdownNow();
    try {
      boolean ended = worker.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
      log.debug("the I/O threads have ended: {}", ended);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    buffers.close();
  }
}
