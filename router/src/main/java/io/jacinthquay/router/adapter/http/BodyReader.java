package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.BufferBudget;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/** Reads the body of one request within limits on its size, time and the shared memory budget. */
final class BodyReader {
  private static final byte[] EMPTY = new byte[0];

  private final HttpServerExchange exchange;
  private final ListenerLimits limits;
  private final BufferBudget memory;
  private final List<byte[]> parts = new ArrayList<>();
  private int size;
  private Consumer<byte[]> onComplete;
  private Consumer<Failure> onFailure;
  private StreamSourceChannel source;
  private XnioExecutor.Key timer;
  private long reservedBytes;
  private boolean done;

  BodyReader(HttpServerExchange exchange, ListenerLimits limits, BufferBudget memory) {
    this.exchange = exchange;
    this.limits = limits;
    this.memory = memory;
  }

  /**
   * Starts to read; calls exactly one of the callbacks, or none if the connection is lost.
   *
   * @param bodyCallback called with the complete body
   * @param failureCallback called if a limit is exceeded
   */
  void read(Consumer<byte[]> bodyCallback, Consumer<Failure> failureCallback) {
    onComplete = bodyCallback;
    onFailure = failureCallback;
    if (!exchange.getConnection().isOpen()) {
      done = true;
      return;
    }
    if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
      fail(ResultCode.BODY_TOO_LARGE);
      return;
    }
    if (exchange.isRequestComplete()) {
      complete(EMPTY);
      return;
    }
    if (!reserve(Math.max(0, exchange.getRequestContentLength()))) {
      fail(ResultCode.QUEUE_FULL);
      return;
    }
    CloseListeners.add(exchange, this::onClosed);
    exchange.addExchangeCompleteListener(
        (completed, next) -> {
          releaseMemory();
          ReadAheadSource.allowAll(exchange);
          next.proceed();
        });
    ReadAheadSource.allow(exchange, ReadAheadSource.MAX_SKIPPED_BYTES);
    source = exchange.getRequestChannel();
    source.getReadSetter().set(channel -> ListenerGuard.run(this::readAvailable, this::abort));
    timer =
        exchange
            .getIoThread()
            .executeAfter(
                () -> fail(ResultCode.SENDER_TOO_SLOW), limits.bodyMillis(), TimeUnit.MILLISECONDS);
    readAvailable();
  }

  private void readAvailable() {
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
          ReadAheadSource.allowAll(exchange);
          complete(joinParts());
          return;
        }
        ReadAheadSource.allow(exchange, ReadAheadSource.MAX_SKIPPED_BYTES);
        if (!append(buffer.flip())) {
          return;
        }
      }
    } catch (IOException e) {
      abort();
    }
  }

  private void abort() {
    finish();
    IoUtils.safeClose(exchange.getConnection());
  }

  /** Passes on a body, unless the exchange was ended before all of it had arrived. */
  private void complete(byte[] received) {
    boolean whole =
        exchange.getConnection().isOpen() && received.length >= exchange.getRequestContentLength();
    if (whole) {
      onComplete.accept(received);
    } else {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private boolean append(ByteBuffer data) {
    int count = data.remaining();
    if (size + count > limits.maxBodyBytes()) {
      fail(ResultCode.BODY_TOO_LARGE);
      return false;
    }
    if (!reserve(size + count - reservedBytes)) {
      fail(ResultCode.QUEUE_FULL);
      return false;
    }
    byte[] bytes = new byte[count];
    data.get(bytes);
    parts.add(bytes);
    size += count;
    return true;
  }

  private boolean reserve(long bytes) {
    if (bytes <= 0) {
      return true;
    }
    if (!memory.tryReserve(bytes)) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  private byte[] joinParts() {
    ByteBuffer body = ByteBuffer.allocate(size);
    parts.forEach(body::put);
    parts.clear();
    return body.array();
  }

  private void fail(ResultCode code) {
    if (!done) {
      finish();
      onFailure.accept(Failure.of(code));
    }
  }

  private void onClosed() {
    finish();
    parts.clear();
    releaseMemory();
  }

  private void releaseMemory() {
    memory.release(reservedBytes);
    reservedBytes = 0;
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
