package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
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

/** One request and its answer on one connection; used on one I/O thread. */
final class HttpCall implements UpstreamCall {
  private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");

  /** Statuses below announce another answer, which the parser would leave unread. */
  private static final int FIRST_FINAL_STATUS = 200;

  /** Reads in a row before other work of the thread gets a turn. */
  private static final int READS_PER_TURN = 8;

  /** Rest of a dropped answer that is read, in bytes: less work than a new connection. */
  private static final int MOST_DROPPED_BYTES = 16 * 1024;

  /** Time for the rest of a dropped answer, in milliseconds: one that is whole is there by then. */
  private static final long MOST_DROPPED_MILLIS = 200;

  private final ConnectionPool pool;
  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private UpstreamConnection connection;
  private ClientExchange exchange;
  private ByteBuffer unsent;
  private boolean sent;
  private boolean mayHaveRun;
  private boolean paused;
  private boolean dropped;
  private int droppedBytes;
  private XnioExecutor.Key dropTimer;
  private boolean done;

  HttpCall(ConnectionPool pool, UpstreamRequest request, UpstreamListener listener) {
    this.pool = pool;
    this.request = request;
    this.listener = listener;
  }

  void start() {
    pool.take(request.address(), !request.idempotent(), orElse(this::connected, this::unreachable));
  }

  private static <T> ClientCallback<T> orElse(Consumer<T> completed, Runnable failed) {
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

  private void connected(UpstreamConnection opened) {
    if (done) {
      pool.giveBack(request.address(), opened, null);
      return;
    }
    connection = opened;
    listener.onSending();
    if (done) {
      return;
    }
    mayHaveRun = true;
    opened.source().allow(BoundedSource.MOST_HEAD_BYTES);
    opened.http().sendRequest(clientRequest(), orElse(this::sending, this::broken));
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
    if (request.body().length > 0 || takesBody(request.method())) {
      headers.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return head;
  }

  private static boolean takesBody(String method) {
    return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
  }

  private void sending(ClientExchange started) {
    if (done) {
      return;
    }
    exchange = started;
    started.setResponseListener(orElse(e -> headArrived(), this::broken));
    unsent = ByteBuffer.wrap(request.body());
    StreamSinkChannel sink = started.getRequestChannel();
    sink.getWriteSetter().set(channel -> sendBody());
    sendBody();
  }

  private void sendBody() {
    if (done || sent) {
      return;
    }
    StreamSinkChannel sink = exchange.getRequestChannel();
    try {
      while (unsent.hasRemaining()) {
        if (sink.write(unsent) == 0) {
          sink.resumeWrites();
          return;
        }
      }
      sink.shutdownWrites();
      if (sink.flush()) {
        sink.suspendWrites();
        sent = true;
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      broken();
    }
  }

  private void headArrived() {
    if (done) {
      return;
    }
    connection.source().allow(BoundedSource.MOST_SKIPPED_BYTES);
    ClientResponse response = exchange.getResponse();
    String echoed = response.getResponseHeaders().getFirst(pool.idHeader());
    if (response.getResponseCode() < FIRST_FINAL_STATUS) {
      broken();
      return;
    }
    boolean matches =
        echoed == null ? !request.echoRequired() : echoed.equals(request.id().value());
    if (!matches) {
      fail(UpstreamFailure.MISMATCH);
      return;
    }
    listener.onHead(new AnswerHead(response.getResponseCode(), copy(response)));
    if (done) {
      return;
    }
    StreamSourceChannel source = exchange.getResponseChannel();
    source.getReadSetter().set(channel -> read());
    source.wakeupReads();
  }

  private static List<Header> copy(ClientResponse response) {
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
        connection.source().allow(BoundedSource.MOST_SKIPPED_BYTES);
        buffer.flip();
        if (dropped) {
          drop(count);
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
      broken();
    }
  }

  private void drop(int count) {
    droppedBytes += count;
    if (droppedBytes > MOST_DROPPED_BYTES) {
      cancel();
    }
  }

  private void endOrWait(StreamSourceChannel source, int count) {
    if (count == 0) {
      source.resumeReads();
      return;
    }
    if (!dropped) {
      listener.onEnd();
    }
    if (!done) {
      finish();
      release();
    }
  }

  private void release() {
    String close = exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
    boolean keep = sent && connection.isOpen() && !"close".equalsIgnoreCase(close);
    if (keep) {
      String alive = exchange.getResponse().getResponseHeaders().getFirst(KEEP_ALIVE);
      pool.giveBack(request.address(), connection, alive);
    } else {
      close();
    }
  }

  private void close() {
    if (connection != null) {
      connection.close();
    }
  }

  private void unreachable() {
    fail(UpstreamFailure.UNREACHABLE);
  }

  private void broken() {
    fail(UpstreamFailure.BROKE);
  }

  private void fail(UpstreamFailure failure) {
    if (done) {
      return;
    }
    finish();
    close();
    if (!dropped) {
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
    if (dropTimer != null) {
      dropTimer.remove();
    }
  }

  @Override
  public void discard() {
    if (done || dropped) {
      return;
    }
    dropped = true;
    dropTimer = pool.after(MOST_DROPPED_MILLIS, this::cancel);
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
