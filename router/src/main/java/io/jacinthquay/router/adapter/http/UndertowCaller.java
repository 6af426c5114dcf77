package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.runtime.http.BufferBudget;
import io.jacinthquay.runtime.http.ListenerGuard;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/** Sends a response to a caller through an Undertow exchange. */
final class UndertowCaller implements Caller {
  /** Bytes of a response with which a slow caller may exceed the shared memory. */
  private static final int SMALL_PENDING_BYTES = 32 * 1024;

  /** Time for which a caller must have read nothing before its connection may be given up. */
  static final long MIN_BLOCKED_MILLIS = 1_000;

  /** Memory of a pending part besides its bytes. */
  private static final int PART_BYTES = 80;

  /** Time for a caller to receive the rest of a response that has ended, in milliseconds. */
  private static final long MAX_SEND_MILLIS = 30_000;

  private final HttpServerExchange exchange;
  private final EventThread thread;
  private final ConnectionTracker connections;
  private CallerListener listener;
  private StreamSinkChannel sink;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private final BufferBudget.Reservation memory;
  private final Transfer transfer;
  private int pendingBytes;
  private XnioExecutor.Key sendTimer;
  private boolean begun;
  private boolean ending;
  private boolean finished;

  UndertowCaller(HttpServerExchange exchange, ConnectionTracker connections, BufferBudget memory) {
    this.memory = BufferBudget.Reservation.ofAll(memory, SMALL_PENDING_BYTES);
    this.transfer = ReadAheadSource.transfer(exchange);
    this.exchange = exchange;
    this.connections = connections;
    this.thread = new IoThread(exchange.getIoThread());
    CloseListeners.add(exchange, this::onClosed);
  }

  @Override
  public EventThread thread() {
    return thread;
  }

  @Override
  public void setListener(CallerListener newListener) {
    listener = newListener;
  }

  @Override
  public void begin(ResponseHead head, OptionalLong length) {
    if (finished) {
      begun = true;
      return;
    }
    exchange.getResponseHeaders().clear();
    exchange.setStatusCode(head.status());
    if (connections.isDraining()) {
      exchange.setPersistent(false);
    }
    for (Header header : head.headers()) {
      exchange.getResponseHeaders().add(new HttpString(header.name()), header.value());
    }
    if (length.isPresent()) {
      exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length.getAsLong());
    } else {
      // Otherwise the end of the connection would mark the end of the response, even where the
      // response is truncated.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
    }
    connections.freeBuffer(exchange);
    sink = exchange.getResponseChannel();
    sink.getWriteSetter()
        .set(
            channel ->
                ListenerGuard.run(
                    this::flushPending, () -> disconnect(DisconnectReason.WRITE_FAILED)));
    begun = true;
  }

  @Override
  public boolean hasBegun() {
    return begun;
  }

  @Override
  public boolean write(ByteBuffer data) {
    if (finished) {
      return true;
    }
    if (!pending.isEmpty()) {
      return !append(data);
    }
    try {
      while (data.hasRemaining()) {
        if (sink.write(data) == 0) {
          sink.resumeWrites();
          return !append(data);
        }
      }
      return flush();
    } catch (IOException e) {
      disconnect(DisconnectReason.WRITE_FAILED);
      return true;
    }
  }

  private boolean flush() throws IOException {
    if (sink.flush()) {
      return true;
    }
    sink.resumeWrites();
    return false;
  }

  /** Keeps a copy of the data; disconnects and returns false if there is no memory for it. */
  private boolean append(ByteBuffer data) {
    if (pending.isEmpty()) {
      transfer.begin(() -> disconnect(DisconnectReason.NO_MEMORY), MIN_BLOCKED_MILLIS);
    }
    if (!memory.tryResize(memoryBytes(pendingBytes + data.remaining(), pending.size() + 1))) {
      disconnect(DisconnectReason.NO_MEMORY);
      return false;
    }
    if (finished) {
      // The budget took this caller for the slowest.
      clearPending();
      return false;
    }
    pendingBytes += data.remaining();
    pending.addLast(ByteBuffer.allocate(data.remaining()).put(data).flip());
    transfer.hold(memory.reservedBytes());
    return true;
  }

  private static long memoryBytes(int bytes, int parts) {
    return bytes + (long) PART_BYTES * parts;
  }

  private void clearPending() {
    pending.clear();
    pendingBytes = 0;
    memory.release();
    transfer.end();
  }

  private void flushPending() {
    try {
      while (!pending.isEmpty()) {
        ByteBuffer first = pending.peekFirst();
        int count = first.hasRemaining() ? sink.write(first) : 0;
        if (count == 0 && first.hasRemaining()) {
          return;
        }
        transfer.moved(count, memory.reservedBytes());
        if (!first.hasRemaining()) {
          pending.removeFirst();
          pendingBytes -= first.limit();
          releaseSent();
        }
      }
      if (ending) {
        finish();
        return;
      }
      if (!sink.flush()) {
        return;
      }
      sink.suspendWrites();
    } catch (IOException e) {
      disconnect(DisconnectReason.WRITE_FAILED);
      return;
    }
    if (listener != null) {
      listener.onWritable();
    }
  }

  @Override
  public void end() {
    ending = true;
    if (pending.isEmpty()) {
      finish();
    } else {
      sendTimer =
          exchange
              .getIoThread()
              .executeAfter(
                  () -> disconnect(DisconnectReason.SLOW_CALLER),
                  MAX_SEND_MILLIS,
                  TimeUnit.MILLISECONDS);
    }
  }

  private void finish() {
    if (finished) {
      return;
    }
    if (!exchange.isRequestComplete() && !sendEnd()) {
      return;
    }
    finished = true;
    cancelSendTimer();
    exchange.endExchange();
  }

  /**
   * Sends the end of a response whose request is not complete; Undertow itself would first read the
   * rest of the request, which may never come.
   *
   * @return whether all is sent; if not, the write listener goes on
   */
  private boolean sendEnd() {
    try {
      if (sink.isOpen()) {
        sink.shutdownWrites();
      }
      if (!sink.flush()) {
        sink.resumeWrites();
        return false;
      }
      return true;
    } catch (IOException e) {
      disconnect(DisconnectReason.WRITE_FAILED);
      return false;
    }
  }

  private void releaseSent() {
    boolean unused = memory.tryResize(memoryBytes(pendingBytes, pending.size()));
    if (pending.isEmpty()) {
      transfer.end();
    } else {
      transfer.hold(memory.reservedBytes());
    }
  }

  private void cancelSendTimer() {
    if (sendTimer != null) {
      sendTimer.remove();
    }
  }

  private void disconnect(DisconnectReason reason) {
    reportDisconnect(reason);
    IoUtils.safeClose(exchange.getConnection());
  }

  private void onClosed() {
    reportDisconnect(
        ReadAheadSource.hasEnded(exchange)
            ? DisconnectReason.CALLER_LEFT
            : DisconnectReason.CLOSED_BY_ROUTER);
  }

  /**
   * Reports that the connection closes. That is a disconnect only if the response is incomplete: it
   * also closes after a complete response if the caller asked for that.
   */
  private void reportDisconnect(DisconnectReason reason) {
    if (!finished) {
      finished = true;
      cancelSendTimer();
      clearPending();
      if (listener != null && !exchange.isResponseComplete()) {
        listener.onDisconnect(reason);
      }
    }
  }

  @Override
  public void abort() {
    finished = true;
    cancelSendTimer();
    clearPending();
    IoUtils.safeClose(exchange.getConnection());
  }
}
