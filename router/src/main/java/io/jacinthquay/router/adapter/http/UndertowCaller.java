package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.BufferBudget;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
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
  /** Bytes of a response that a slow caller may leave pending outside the shared memory. */
  private static final int OWN_PENDING_BYTES = 32 * 1024;

  /** Time for a caller to receive the rest of a response that has ended, in milliseconds. */
  private static final long MAX_SEND_MILLIS = 30_000;

  private final HttpServerExchange exchange;
  private final EventThread thread;
  private final ConnectionTracker connections;
  private CallerListener listener;
  private StreamSinkChannel sink;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private final BufferBudget.Reservation memory;
  private int pendingBytes;
  private XnioExecutor.Key sendTimer;
  private boolean begun;
  private boolean ending;
  private boolean finished;

  UndertowCaller(HttpServerExchange exchange, ConnectionTracker connections, BufferBudget memory) {
    this.memory = new BufferBudget.Reservation(memory, OWN_PENDING_BYTES);
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
    if (!memory.tryResize(pendingBytes + data.remaining())) {
      disconnect(DisconnectReason.NO_MEMORY);
      return false;
    }
    pendingBytes += data.remaining();
    pending.addLast(ByteBuffer.allocate(data.remaining()).put(data).flip());
    return true;
  }

  private void clearPending() {
    pending.clear();
    pendingBytes = 0;
    memory.release();
  }

  private void flushPending() {
    try {
      while (!pending.isEmpty()) {
        ByteBuffer first = pending.peekFirst();
        if (first.hasRemaining() && sink.write(first) == 0) {
          return;
        }
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
    if (!finished) {
      finished = true;
      cancelSendTimer();
      exchange.endExchange();
    }
  }

  private void releaseSent() {
    boolean unused = memory.tryResize(pendingBytes);
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
