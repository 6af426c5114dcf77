package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.runtime.http.ListenerGuard;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** A request and its response on one upstream connection; used on one I/O thread. */
final class UndertowUpstreamCall implements UpstreamCall {
  private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");
  private static final int NO_CONTENT = 204;

  /** Consecutive reads before other tasks of the thread get a turn. */
  private static final int READS_PER_TURN = 8;

  /**
   * Most bytes that are read of a discarded response. Reading this much costs less than opening a
   * new connection.
   */
  private static final int MAX_DISCARDED_BYTES = 16 * 1024;

  /**
   * Time to read the rest of a discarded response, in milliseconds. A response that is already
   * complete arrives within it.
   */
  private static final long MAX_DISCARD_MILLIS = 200;

  private final ConnectionPool pool;
  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private UpstreamConnection connection;
  private ClientExchange exchange;
  private ByteBuffer unsentBody;
  private boolean bodySent;
  private boolean uploadBroken;
  private boolean mayHaveRun;
  private boolean paused;
  private boolean discarded;
  private int discardedBytes;
  private XnioExecutor.Key discardTimer;
  private boolean done;

  UndertowUpstreamCall(ConnectionPool pool, UpstreamRequest request, UpstreamListener listener) {
    this.pool = pool;
    this.request = request;
    this.listener = listener;
  }

  void start() {
    pool.acquire(
        request.address(),
        request.id(),
        !request.idempotent(),
        callback(this::onConnected, this::onUnreachable));
  }

  private static <T> ClientCallback<T> callback(Consumer<T> completed, Runnable failed) {
    return new ClientCallback<>() {
      @Override
      public void completed(T result) {
        completed.accept(result);
      }

      @Override
      public void failed(IOException e) {
        failed.run();
      }
    };
  }

  private void onConnected(UpstreamConnection opened) {
    if (done) {
      pool.release(request.address(), opened, null);
      return;
    }
    connection = opened;
    listener.onSending();
    if (done) {
      return;
    }
    mayHaveRun = true;
    opened.recordRequest(request.id());
    opened.source().beginHead(request.method(), this::onBroken);
    opened.http().sendRequest(clientRequest(), callback(this::onRequestStarted, this::onBroken));
  }

  private ClientRequest clientRequest() {
    ClientRequest head = new ClientRequest();
    head.setMethod(new HttpString(request.method())).setPath(request.target());
    HeaderMap headers = head.getRequestHeaders();
    for (Header header : request.headers()) {
      headers.add(new HttpString(header.name()), header.value());
    }
    headers.put(pool.idHeader(), request.id().value());
    if (!headers.contains(Headers.HOST)) {
      headers.put(
          Headers.HOST, request.address().getHostString() + ":" + request.address().getPort());
    }
    if (request.body().length > 0 || hasBody(request.method())) {
      headers.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return head;
  }

  private static boolean hasBody(String method) {
    return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
  }

  private void onRequestStarted(ClientExchange started) {
    if (done) {
      return;
    }
    exchange = started;
    started.setResponseListener(callback(e -> onHead(), this::onBroken));
    unsentBody = ByteBuffer.wrap(request.body());
    StreamSinkChannel sink = started.getRequestChannel();
    sink.getWriteSetter().set(channel -> ListenerGuard.run(this::sendBody, this::onBroken));
    sendBody();
  }

  private void sendBody() {
    if (done || bodySent || uploadBroken) {
      return;
    }
    StreamSinkChannel sink = exchange.getRequestChannel();
    try {
      while (unsentBody.hasRemaining()) {
        if (sink.write(unsentBody) == 0) {
          sink.resumeWrites();
          return;
        }
      }
      sink.shutdownWrites();
      if (sink.flush()) {
        sink.suspendWrites();
        bodySent = true;
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      // Reading fails in turn, unless the server has sent a whole response before.
      uploadBroken = true;
      sink.suspendWrites();
    }
  }

  private void onHead() {
    if (done) {
      return;
    }
    ClientResponse response = exchange.getResponse();
    connection.source().allowSkipped();
    String echoed = response.getResponseHeaders().getFirst(pool.idHeader());
    int status = response.getResponseCode();
    boolean idMatches =
        echoed == null ? !request.echoRequired() : echoed.equals(request.id().value());
    if (!idMatches) {
      fail(UpstreamFailure.MISMATCH);
      return;
    }
    listener.onHead(new ResponseHead(status, headers(response)));
    if (done) {
      return;
    }
    if (connection.source().endedByStatus() && parserExpectsContent(response)) {
      end(false);
      return;
    }
    StreamSourceChannel source = exchange.getResponseChannel();
    source.getReadSetter().set(channel -> ListenerGuard.run(this::read, this::onBroken));
    source.wakeupReads();
  }

  private static List<Header> headers(ClientResponse response) {
    List<Header> headers = new ArrayList<>();
    for (HeaderValues values : response.getResponseHeaders()) {
      for (String value : values) {
        headers.add(new Header(values.getHeaderName().toString(), value));
      }
    }
    return headers;
  }

  private void read() {
    if (done || paused) {
      return;
    }
    StreamSourceChannel source = exchange.getResponseChannel();
    try (PooledByteBuffer pooled = pool.buffers().allocate()) {
      for (int turn = 0; turn < READS_PER_TURN; turn++) {
        ByteBuffer buffer = pooled.getBuffer();
        buffer.clear();
        int count = source.read(buffer);
        if (count <= 0) {
          endOrWait(source, count);
          return;
        }
        connection.source().allowSkipped();
        buffer.flip();
        if (discarded) {
          countDiscarded(count);
        } else if (!listener.onData(buffer)) {
          paused = true;
          source.suspendReads();
        }
        if (done || paused) {
          return;
        }
      }
      source.wakeupReads();
    } catch (IOException e) {
      onBroken();
    }
  }

  private void countDiscarded(int count) {
    discardedBytes += count;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      cancel();
    }
  }

  private void endOrWait(StreamSourceChannel source, int count) {
    if (count == 0) {
      source.resumeReads();
      return;
    }
    if (connection.source().isResponseComplete(bodySent)) {
      end(true);
    } else {
      onBroken();
    }
  }

  private static boolean parserExpectsContent(ClientResponse response) {
    HeaderMap headers = response.getResponseHeaders();
    return response.getResponseCode() != NO_CONTENT
        || headers.contains(Headers.CONTENT_LENGTH)
        || headers.contains(Headers.TRANSFER_ENCODING);
  }

  /** Ends the call; the connection may be reused if the parser has read the end as well. */
  private void end(boolean parsed) {
    if (!discarded) {
      listener.onEnd();
    }
    if (done) {
      return;
    }
    finish();
    if (parsed) {
      releaseConnection();
    } else {
      close();
    }
  }

  private void releaseConnection() {
    String close = exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
    boolean reusable =
        bodySent
            && connection.isOpen()
            && connection.source().isReusable()
            && !"close".equalsIgnoreCase(close);
    if (reusable) {
      String keepAlive = exchange.getResponse().getResponseHeaders().getFirst(KEEP_ALIVE);
      pool.release(request.address(), connection, keepAlive);
    } else {
      close();
    }
  }

  private void close() {
    if (connection != null) {
      connection.close();
    }
  }

  private void onUnreachable() {
    fail(UpstreamFailure.UNREACHABLE);
  }

  private void onBroken() {
    boolean noMemory = connection != null && connection.source().isGivenUp();
    fail(noMemory ? UpstreamFailure.NO_MEMORY : UpstreamFailure.BROKE);
  }

  private void fail(UpstreamFailure failure) {
    if (done) {
      return;
    }
    finish();
    close();
    if (!discarded) {
      listener.onFailure(failure);
    }
  }

  @Override
  public void cancel() {
    if (!done) {
      finish();
      close();
    }
  }

  private void finish() {
    done = true;
    if (connection != null) {
      connection.source().release();
    }
    if (discardTimer != null) {
      discardTimer.remove();
    }
  }

  @Override
  public void discard() {
    if (done || discarded) {
      return;
    }
    discarded = true;
    discardTimer = pool.after(MAX_DISCARD_MILLIS, this::cancel);
    resume();
  }

  @Override
  public void resume() {
    if (paused && !done) {
      paused = false;
      exchange.getResponseChannel().wakeupReads();
    }
  }

  @Override
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
