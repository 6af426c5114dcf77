package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.http.BodyBuffer;
import io.jacinthquay.runtime.http.BufferBudget;
import io.jacinthquay.runtime.http.ListenerGuard;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/** Reads the body of one request within limits on its size, time and the shared memory budget. */
final class BodyReader {
  private static final byte[] EMPTY = new byte[0];

  /** Bytes with which a body may exceed the shared memory: more than usual bodies have. */
  private static final long SMALL_BODY_BYTES = 32 * 1024;

  /** Reads in one turn from which they count as costly; a turn reads as many buffers at most. */
  private static final int MAX_READS_PER_TURN = 32;

  /** Time between two checks of the rate of a body, in milliseconds. */
  private static final long RATE_CHECK_MILLIS = 2_000;

  private final HttpServerExchange exchange;
  private final ListenerLimits limits;
  private final BufferBudget.Reservation memory;
  private final Transfer transfer;
  private final BodyBuffer received;
  private Consumer<byte[]> onComplete;
  private Consumer<Failure> onFailure;
  private StreamSourceChannel source;
  private XnioExecutor.Key timer;
  private boolean done;

  BodyReader(HttpServerExchange exchange, ListenerLimits limits, BufferBudget memory) {
    this.exchange = exchange;
    this.limits = limits;
    this.memory = BufferBudget.Reservation.ofAll(memory, SMALL_BODY_BYTES);
    this.transfer = ReadAheadSource.transfer(exchange);
    long length = exchange.getRequestContentLength();
    this.received = new BodyBuffer(length < 0 ? limits.maxBodyBytes() : length);
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
    if (ReadAheadSource.hasInvalidChunks(exchange)) {
      fail(ResultCode.BAD_REQUEST);
      return;
    }
    if (exchange.isRequestComplete()) {
      complete(EMPTY);
      return;
    }
    CloseListeners.add(exchange, this::onClosed);
    exchange.addExchangeCompleteListener(
        (completed, next) -> {
          memory.release();
          ReadAheadSource.allowAll(exchange);
          next.proceed();
        });
    ReadAheadSource.allow(exchange, ReadAheadSource.MAX_SKIPPED_BYTES);
    source = exchange.getRequestChannel();
    source.getReadSetter().set(channel -> ListenerGuard.run(this::readAvailable, this::abort));
    transfer.begin(() -> fail(ResultCode.QUEUE_FULL), 0);
    readAvailable();
    if (!done) {
      timer = after(Math.min(limits.bodyMillis(), limits.bodyPauseMillis()));
    }
  }

  private XnioExecutor.Key after(long millis) {
    return exchange.getIoThread().executeAfter(this::checkRate, millis, TimeUnit.MILLISECONDS);
  }

  /** Rejects a body that takes too long, pauses for too long, or is slower than the least rate. */
  private void checkRate() {
    if (done) {
      return;
    }
    long now = System.nanoTime();
    long ageMillis = transfer.ageMillis(now);
    boolean paused = transfer.idleMillis(now) >= limits.bodyPauseMillis();
    boolean slow =
        ageMillis >= limits.bodyPauseMillis()
            && transfer.movedBytes()
                < limits.minBodyBytesPerSecond() * TimeUnit.MILLISECONDS.toSeconds(ageMillis);
    if (paused || slow || ageMillis >= limits.bodyMillis()) {
      fail(ResultCode.SENDER_TOO_SLOW);
    } else {
      timer = after(Math.min(RATE_CHECK_MILLIS, limits.bodyMillis() - ageMillis));
    }
  }

  private void readAvailable() {
    if (done) {
      return;
    }
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      int reads = 0;
      while (true) {
        buffer.clear();
        int count = source.read(buffer);
        if (ReadAheadSource.hasInvalidChunks(exchange)) {
          fail(ResultCode.BAD_REQUEST);
          return;
        }
        if (count == 0) {
          source.resumeReads();
          return;
        }
        if (count < 0) {
          finish();
          ReadAheadSource.allowAll(exchange);
          complete(received.takeAll());
          return;
        }
        reads++;
        if (reads == MAX_READS_PER_TURN) {
          ReadAheadSource.shortenTurns(exchange);
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
  private void complete(byte[] body) {
    boolean whole =
        exchange.getConnection().isOpen() && body.length >= exchange.getRequestContentLength();
    if (whole) {
      // Blocks may be twice as large as the body.
      boolean unused = memory.tryResize(body.length);
      onComplete.accept(body);
    } else {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private boolean append(ByteBuffer data) {
    int count = data.remaining();
    if (received.size() + count > limits.maxBodyBytes()) {
      fail(ResultCode.BODY_TOO_LARGE);
      return false;
    }
    if (!memory.tryResize(received.memoryBytesWith(count))) {
      fail(ResultCode.QUEUE_FULL);
      return false;
    }
    if (done) {
      // The budget took this body for the slowest.
      memory.release();
      return false;
    }
    received.add(data);
    transfer.moved(count, memory.reservedBytes());
    return true;
  }

  private void fail(ResultCode code) {
    if (!done) {
      finish();
      received.clear();
      memory.release();
      onFailure.accept(Failure.of(code));
    }
  }

  private void onClosed() {
    finish();
    received.clear();
    memory.release();
  }

  private void finish() {
    if (done) {
      return;
    }
    done = true;
    transfer.end();
    if (timer != null) {
      timer.remove();
    }
    if (source != null) {
      source.suspendReads();
    }
  }
}
