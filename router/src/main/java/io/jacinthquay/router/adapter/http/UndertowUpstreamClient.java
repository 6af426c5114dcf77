package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.runtime.http.AnswerMemory;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.XnioIoThread;

/**
 * Sends requests over HTTP/1.1 with one pool of connections per I/O thread.
 *
 * <p>A call stays on the I/O thread that started it, so its state needs no lock. A connection
 * carries one request at a time, so responses are in the order of requests.
 */
public final class UndertowUpstreamClient implements UpstreamClient, AutoCloseable {
  /** Buffers for reads and for responses that callers are slow to take, one each. */
  private static final int MAX_BUFFERS = 2_048;

  private final BoundedBufferPool buffers = new BoundedBufferPool(MAX_BUFFERS);
  private final Map<XnioIoThread, ConnectionPool> pools = new ConcurrentHashMap<>();
  private final AnswerMemory memory = new AnswerMemory();
  private final AtomicInteger openCount = new AtomicInteger();
  private final Duration connectTimeout;
  private final ReusePolicy reuse;

  /**
   * Returns a client.
   *
   * @param connectTimeout time limit for opening a connection
   */
  public UndertowUpstreamClient(Duration connectTimeout) {
    this(connectTimeout, ReusePolicy.DEFAULT);
  }

  /**
   * Returns a client.
   *
   * @param connectTimeout time limit for opening a connection
   * @param reuse the policy for reusing connections
   */
  public UndertowUpstreamClient(Duration connectTimeout, ReusePolicy reuse) {
    this.connectTimeout = connectTimeout;
    this.reuse = reuse;
  }

  /**
   * Sends a request.
   *
   * @throws IllegalStateException if the current thread is not an I/O thread
   */
  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    XnioIoThread thread = XnioIoThread.currentThread();
    if (thread == null) {
      throw new IllegalStateException("requests must be sent on an I/O thread");
    }
    ConnectionPool pool = pools.computeIfAbsent(thread, this::newPool);
    UndertowUpstreamCall call = new UndertowUpstreamCall(pool, request, listener);
    call.start();
    return call;
  }

  /** Returns the number of open connections to upstreams, including idle ones. */
  public int openConnections() {
    return openCount.get();
  }

  /** Returns the number of pooled buffers in use. */
  public int buffersInUse() {
    return buffers.inUse();
  }

  /** Returns the memory that heads and trailers of responses take, until these have ended. */
  public AnswerMemory answerMemory() {
    return memory;
  }

  private ConnectionPool newPool(XnioIoThread thread) {
    return new ConnectionPool(thread, buffers, connectTimeout, reuse, openCount, memory);
  }

  @Override
  public void close() {
    pools.values().forEach(ConnectionPool::close);
    buffers.close();
  }
}
