package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/** Reads the whole body of one request within limits of size, time and shared memory. */
final class BodyReader {
  private static final byte[] EMPTY = new byte[0];

  private final HttpServerExchange exchange;
  private final ListenerLimits limits;
  private final BodyMemory memory;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private Consumer<byte[]> whole;
  private Consumer<Failure> refused;
  private StreamSourceChannel source;
  private XnioExecutor.Key timer;
  private long taken;
  private boolean done;

  BodyReader(HttpServerExchange exchange, ListenerLimits limits, BodyMemory memory) {
    this.exchange = exchange;
    this.limits = limits;
    this.memory = memory;
  }

  void read(Consumer<byte[]> onWhole, Consumer<Failure> onRefused) {
    whole = onWhole;
    refused = onRefused;
    if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
      refuse(ResultCode.BODY_TOO_LARGE);
      return;
    }
    if (exchange.isRequestComplete()) {
      onWhole.accept(EMPTY);
      return;
    }
    exchange.getConnection().addCloseListener(connection -> closed());
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          giveBack();
          WatchedSource.allowAll(exchange);
          next.proceed();
        });
    WatchedSource.allow(exchange, WatchedSource.MOST_SKIPPED_BYTES);
    source = exchange.getRequestChannel();
    source.getReadSetter().set(channel -> readOn());
    timer =
        exchange
            .getIoThread()
            .executeAfter(
                () -> refuse(ResultCode.SENDER_TOO_SLOW),
                limits.bodyMillis(),
                TimeUnit.MILLISECONDS);
    readOn();
  }

  private void readOn() {
    if (done) {
      return;
    }
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (true) {
        buffer.clear();
        int count = source.read(buffer);
        if (count == 0) {
          source.resumeReads();
          return;
        }
        if (count < 0) {
          finish();
          WatchedSource.allowAll(exchange);
          whole.accept(body.toByteArray());
          return;
        }
        WatchedSource.allow(exchange, WatchedSource.MOST_SKIPPED_BYTES);
        if (!append(buffer.flip())) {
          return;
        }
      }
    } catch (IOException e) {
      finish();
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private boolean append(ByteBuffer data) {
    int count = data.remaining();
    if (body.size() + count > limits.maxBodyBytes()) {
      refuse(ResultCode.BODY_TOO_LARGE);
      return false;
    }
    if (!memory.tryTake(count)) {
      refuse(ResultCode.QUEUE_FULL);
      return false;
    }
    taken += count;
    byte[] bytes = new byte[count];
    data.get(bytes);
    body.writeBytes(bytes);
    return true;
  }

  private void refuse(ResultCode code) {
    if (!done) {
      finish();
      refused.accept(Failure.of(code));
    }
  }

  private void closed() {
    finish();
    giveBack();
  }

  private void giveBack() {
    memory.giveBack(taken);
    taken = 0;
  }

  private void finish() {
    if (done) {
      return;
    }
    done = true;
    if (timer != null) {
      timer.remove();
    }
    if (source != null) {
      source.suspendReads();
    }
  }
}
