package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.XnioIoThread;

/**
 * Sends requests over HTTP/1.1 with one pool of connections per I/O thread.
 *
 * <p>A call stays on the I/O thread that started it, so its state needs no lock. One connection
 * carries one request at a time, so answers are in the order of requests.
 */
public final class UndertowUpstreamClient implements UpstreamClient, AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private final Map<XnioIoThread, ConnectionPool> pools = new ConcurrentHashMap<>();
  private final AtomicInteger open = new AtomicInteger();
  private final Duration connectTimeout;
  private final ReusePolicy reuse;

  /**
   * Returns a client.
   *
   * @param connectTimeout longest time to open a connection
   */
  public UndertowUpstreamClient(Duration connectTimeout) {
    this(connectTimeout, ReusePolicy.DEFAULT);
  }

  /**
   * Returns a client.
   *
   * @param connectTimeout longest time to open a connection
   * @param reuse how connections are reused and requests are named
   */
  public UndertowUpstreamClient(Duration connectTimeout, ReusePolicy reuse) {
    this.connectTimeout = connectTimeout;
    this.reuse = reuse;
  }

  /**
   * Sends a request.
   *
   * @throws IllegalStateException if the current thread is no I/O thread
   */
  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    XnioIoThread thread = XnioIoThread.currentThread();
    if (thread == null) {
      throw new IllegalStateException("requests are sent on I/O threads");
    }
    ConnectionPool pool = pools.computeIfAbsent(thread, this::newPool);
    HttpCall call = new HttpCall(pool, request, listener);
    call.start();
    return call;
  }

  /** Returns how many connections to upstreams are open, idle ones included. */
  public int openConnections() {
    return open.get();
  }

  private ConnectionPool newPool(XnioIoThread thread) {
    return new ConnectionPool(thread, buffers, connectTimeout, reuse, open);
  }

  @Override
  public void close() {
    pools.values().forEach(ConnectionPool::close);
    buffers.close();
  }
}
