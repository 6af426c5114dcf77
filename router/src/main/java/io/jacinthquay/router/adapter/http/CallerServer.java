package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.http.BufferBudget;
import io.jacinthquay.runtime.http.ListenerGuard;
import io.undertow.UndertowOptions;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
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
import org.xnio.conduits.ConduitStreamSourceChannel;

/** An HTTP/1.1 server for callers. */
public final class CallerServer implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Factor by which a head may exceed the limit and still be rejected with a result code. */
  private static final int PARSER_HEAD_FACTOR = 4;

  private static final int BACKLOG = 1_024;
  private static final int MAX_HEADERS = 200;

  /** Buffers for reads and for heads of responses; none is held while a request waits. */
  private static final int MAX_BUFFERS = 1_024;

  /** Largest number of open connections at each further address. */
  private static final int MAX_FURTHER_CONNECTIONS = 256;

  /** Largest body at further addresses, in bytes; readiness and metrics need none. */
  private static final int MAX_FURTHER_BODY_BYTES = 64 * 1024;

  private static final long UNLIMITED = -1;

  private static final int STOP_SECONDS = 5;

  private static final String REJECTION_BODY =
      "{\"error\":{\"code\":1008,\"name\":\"TOO_MANY_CONNECTIONS\",\"message\":"
          + "\"The router holds as many connections as it may.\",\"outcome\":\"not-run\"}}";

  private static final byte[] REJECTION =
      ("HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n"
              + "x-jq-outcome: not-run\r\nconnection: close\r\ncontent-length: "
              + REJECTION_BODY.length()
              + "\r\n\r\n"
              + REJECTION_BODY)
          .getBytes(StandardCharsets.US_ASCII);

  private final InetSocketAddress address;
  private final int ioThreads;
  private final ListenerLimits limits;
  private final RequestIntake intake;
  private final BoundedBufferPool buffers = new BoundedBufferPool(MAX_BUFFERS);
  private final ConnectionTracker connectionTracker;
  private final BufferBudget memory;
  private final ShortageGuard shortages;
  private final Map<XnioIoThread, TurnQueue> turns = new ConcurrentHashMap<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private XnioWorker worker;
  private HttpOpenListener http;
  private RetryingListener listener;
  private final List<RetryingListener> additionalListeners = new CopyOnWriteArrayList<>();

  /**
   * Returns a server.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @param ioThreads number of I/O threads, which handle all requests, 1 or more
   * @param limits limits that protect the server against bad input
   * @param intake handles the requests
   */
  public CallerServer(
      InetSocketAddress address, int ioThreads, ListenerLimits limits, RequestIntake intake) {
    this.address = address;
    this.ioThreads = ioThreads;
    this.limits = limits;
    this.intake = intake;
    this.memory = new BufferBudget(limits.maxBufferedBytes());
    this.connectionTracker = new ConnectionTracker(limits, memory);
    this.shortages = new ShortageGuard(connectionTracker, memory, limits.peerSharePercent());
    memory.setReclaimer(shortages::freeMemory);
    buffers.setOnShortage(this::freeBuffers);
  }

  /** Starts the I/O threads, and listens now or, if another socket holds the address, later. */
  @Override
  public void start() {
    http = new HttpOpenListener(buffers, serverOptions());
    http.setRootHandler(new CallerHandler(intake, limits, memory, connectionTracker));
    try {
      worker = Xnio.getInstance().createWorker(workerOptions());
    } catch (IOException e) {
      throw new IllegalStateException("cannot create the I/O threads: " + e.getMessage(), e);
    }
    listener = listen(address, this::onAccepted);
  }

  private void freeBuffers() {
    connectionTracker.freeHeldBuffers();
    if (buffers.inUse() >= MAX_BUFFERS) {
      shortages.freeBuffers(MAX_BUFFERS);
    }
  }

  private RetryingListener listen(
      InetSocketAddress listenAddress, ChannelListener<StreamConnection> onConnection) {
    RetryingListener opened =
        new RetryingListener(
            listenAddress,
            worker,
            socketOptions(),
            ChannelListeners.openListenerAdapter(onConnection));
    opened.open();
    return opened;
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
        .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeadBytes() * PARSER_HEAD_FACTOR)
        .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headMillis())
        // BodyReader limits bodies; beyond this limit Undertow itself would answer with 400.
        .set(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED)
        .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMillis())
        .set(UndertowOptions.ALWAYS_SET_DATE, false)
        .getMap();
  }

  private void onAccepted(StreamConnection connection) {
    if (openConnections.incrementAndGet() > limits.maxConnections()) {
      shortages.freeConnections(
          limits.maxConnections(), connection.getPeerAddress(InetSocketAddress.class).getAddress());
    }
    if (openConnections.get() > limits.maxConnections()) {
      openConnections.decrementAndGet();
      reject(connection);
      return;
    }
    TrackedConnection unused =
        serve(connection, http, tracked -> openConnections.decrementAndGet());
  }

  private TrackedConnection serve(
      StreamConnection connection,
      HttpOpenListener openListener,
      Consumer<TrackedConnection> onEnd) {
    ListenerGuard.install(connection);
    ConduitStreamSourceChannel source = connection.getSourceChannel();
    ReadAhead ahead = new ReadAhead(memory, limits.maxHeadBytes() + limits.maxBodyBytes());
    ReadAheadSource watched =
        new ReadAheadSource(
            source.getConduit(),
            ahead,
            turns.computeIfAbsent(connection.getIoThread(), TurnQueue::new),
            () -> IoUtils.safeClose(connection));
    watched.setReadReadyHandler(ListenerGuard.reader(connection));
    source.setConduit(watched);
    WriteWatch writes = new WriteWatch(connection.getSinkChannel().getConduit());
    connection.getSinkChannel().setConduit(writes);
    TrackedConnection tracked = connectionTracker.opened(connection, watched, writes);
    ListenerGuard.run(
        () -> openListener.handleEvent(connection), () -> IoUtils.safeClose(connection));
    ChannelListener<? super StreamConnection> onClose = connection.getCloseListener();
    connection.setCloseListener(
        closed -> {
          onEnd.accept(tracked);
          connectionTracker.closed(connection);
          ahead.clear();
          ChannelListeners.invokeChannelListener(closed, onClose);
        });
    return tracked;
  }

  private static void reject(StreamConnection connection) {
    try {
      int written = connection.getSinkChannel().write(ByteBuffer.wrap(REJECTION));
      log.debug("connection limit exceeded; rejected a connection with {} bytes", written);
    } catch (IOException e) {
      log.debug("connection limit exceeded; closed a connection: {}", e.getMessage());
    }
    IoUtils.safeClose(connection);
  }

  /** Returns the port that the server listens on, or is to listen on. */
  public int port() {
    return listener.port();
  }

  /** Returns whether callers can connect: false until the address was free, and after the end. */
  public boolean isListening() {
    return listener.isOpen();
  }

  /** Returns the first I/O thread, which is the only one if the server has one. */
  public EventThread thread() {
    return new IoThread(worker.getIoThread(0));
  }

  /**
   * Listens on a further address, with the same I/O threads, now or once the address is free.
   *
   * @param additionalAddress the address to listen on
   * @param additionalIntake handles the requests to that address
   */
  public void addListenAddress(
      InetSocketAddress additionalAddress, RequestIntake additionalIntake) {
    HttpOpenListener openListener = new HttpOpenListener(buffers, serverOptions());
    openListener.setRootHandler(
        new CallerHandler(
            additionalIntake,
            limits.withMaxBodyBytes(MAX_FURTHER_BODY_BYTES),
            memory,
            connectionTracker));
    FairBound<TrackedConnection> connections = new FairBound<>(MAX_FURTHER_CONNECTIONS);
    additionalListeners.add(
        listen(
            additionalAddress, connection -> serveFurther(connection, openListener, connections)));
  }

  private void serveFurther(
      StreamConnection connection,
      HttpOpenListener openListener,
      FairBound<TrackedConnection> connections) {
    TrackedConnection tracked =
        serve(connection, openListener, closed -> connections.release(closed.peer(), closed));
    if (connection.isOpen()) {
      TrackedConnection.closeAll(connections.hold(tracked.peer(), tracked, 1));
    }
  }

  /** Returns the bytes of memory that unfinished request heads take. */
  public long unfinishedHeadBytes() {
    return connectionTracker.unfinishedHeadBytes();
  }

  /** Returns the number of connections closed since unfinished heads took too much memory. */
  public long connectionsGivenUp() {
    return connectionTracker.givenUp();
  }

  /** Returns the bytes of memory that callers hold, as {@link ListenerLimits} bounds them. */
  public long callerMemoryBytes() {
    return memory.heldBytes();
  }

  /** Returns the number of slow callers given up since memory was short. */
  public long givenUpForMemory() {
    return shortages.givenUpForMemory();
  }

  /** Returns the number of connections closed since all pooled buffers were in use. */
  public long closedForBuffers() {
    return shortages.closedForBuffers();
  }

  /** Returns the number of connections closed to make room for others. */
  public long closedForConnections() {
    return shortages.closedForConnections();
  }

  /** Returns the number of requests rejected as their body arrived too slowly. */
  public long slowBodies() {
    return connectionTracker.slowBodies();
  }

  /** Returns the number of pooled buffers in use. */
  public int buffersInUse() {
    return buffers.inUse();
  }

  /** Announces to callers by each response from now on that their connection is to be closed. */
  public void drain() {
    connectionTracker.drain();
  }

  /** Closes the connections that have carried a request and are idle. */
  public void closeUsedIdle() {
    connectionTracker.closeUsedIdle();
  }

  /** Closes all idle connections, including those on which no request has arrived yet. */
  public void closeIdle() {
    connectionTracker.closeIdle();
  }

  /** Returns the number of requests in flight, including those being read or rejected. */
  public int requestsInProgress() {
    return connectionTracker.busyCount();
  }

  /** Returns the number of callers' open connections. */
  public int openConnections() {
    return connectionTracker.openCount();
  }

  /** Stops accepting connections; open connections are not affected. */
  public void stopAccepting() {
    listener.close();
  }

  @Override
  public void stop() {
    if (worker == null || worker.isShutdown()) {
      return;
    }
    stopAccepting();
    additionalListeners.forEach(RetryingListener::close);
    connectionTracker.closeAll();
    List<Runnable> unused = worker.shutdownNow();
    try {
      boolean ended = worker.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
      log.debug("I/O threads have ended: {}", ended);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    buffers.close();
  }
}
