package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Sends a response to a caller through an Undertow exchange. */
final class UndertowCaller implements Caller {
  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  private final HttpServerExchange exchange;
  private final EventThread thread;
  private final ConnectionTracker connections;
  private CallerListener listener;
  private StreamSinkChannel sink;
  private ByteBuffer pending = EMPTY;
  private boolean begun;
  private boolean ending;
  private boolean finished;

  UndertowCaller(HttpServerExchange exchange, ConnectionTracker connections) {
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
    begun = true;
    if (finished) {
      return;
    }
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
    sink.getWriteSetter().set(channel -> flushPending());
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
    if (pending.hasRemaining()) {
      append(data);
      return false;
    }
    try {
      while (data.hasRemaining()) {
        if (sink.write(data) == 0) {
          append(data);
          sink.resumeWrites();
          return false;
        }
      }
      return flush();
    } catch (IOException e) {
      onWriteFailed();
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

  private void append(ByteBuffer data) {
    ByteBuffer joined = ByteBuffer.allocate(pending.remaining() + data.remaining());
    joined.put(pending).put(data).flip();
    pending = joined;
  }

  private void flushPending() {
    try {
      while (pending.hasRemaining()) {
        if (sink.write(pending) == 0) {
          return;
        }
      }
      pending = EMPTY;
      if (ending) {
        finish();
        return;
      }
      if (!sink.flush()) {
        return;
      }
      sink.suspendWrites();
    } catch (IOException e) {
      onWriteFailed();
      return;
    }
    if (listener != null) {
      listener.onWritable();
    }
  }

  @Override
  public void end() {
    ending = true;
    if (!pending.hasRemaining()) {
      finish();
    }
  }

  private void finish() {
    if (!finished) {
      finished = true;
      exchange.endExchange();
    }
  }

  private void onWriteFailed() {
    IoUtils.safeClose(exchange.getConnection());
    onClosed();
  }

  /**
   * Called when the connection closes. That is a disconnect only if the response is incomplete: it
   * also closes after a complete response if the caller asked for that.
   */
  private void onClosed() {
    if (!finished) {
      finished = true;
      pending = EMPTY;
      if (listener != null && !exchange.isResponseComplete()) {
        listener.onDisconnect();
      }
    }
  }

  @Override
  public void abort() {
    finished = true;
    IoUtils.safeClose(exchange.getConnection());
  }
}
