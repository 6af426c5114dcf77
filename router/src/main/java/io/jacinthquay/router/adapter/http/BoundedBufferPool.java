package io.jacinthquay.router.adapter.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A pool of direct buffers with a bound on those in use.
 *
 * <p>Without one, a thread that needs a buffer waits for the garbage collector once direct memory
 * is used up, half a second for each event.
 */
final class BoundedBufferPool implements ByteBufferPool {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final int maxBuffers;
  private final ByteBufferPool buffers;
  private final AtomicInteger inUse = new AtomicInteger();
  private volatile Runnable onShortage = () -> {};

  /** Returns a pool of which at most the given number of buffers are in use at a time. */
  BoundedBufferPool(int maxBuffers) {
    this.maxBuffers = maxBuffers;
    this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, maxBuffers, 0);
  }

  /**
   * Returns a buffer, to be closed after use.
   *
   * @throws IllegalStateException if all buffers are in use or the pool is closed; Undertow closes
   *     the connection that was to be read
   */
  @Override
  public PooledByteBuffer allocate() {
    if (!take()) {
      onShortage.run();
      if (!take()) {
        throw new IllegalStateException("all " + maxBuffers + " buffers are in use");
      }
    }
    try {
      return new CountedBuffer(buffers.allocate());
    } catch (IllegalStateException | OutOfMemoryError e) {
      inUse.decrementAndGet();
      throw e;
    }
  }

  private boolean take() {
    if (inUse.incrementAndGet() > maxBuffers) {
      inUse.decrementAndGet();
      return false;
    }
    return true;
  }

  /** Sets what frees buffers when all are in use. */
  void setOnShortage(Runnable action) {
    onShortage = action;
  }

  /** Returns the number of buffers in use. */
  int inUse() {
    return inUse.get();
  }

  @Override
  public ByteBufferPool getArrayBackedPool() {
    return buffers.getArrayBackedPool();
  }

  @Override
  public void close() {
    buffers.close();
  }

  @Override
  public int getBufferSize() {
    return BUFFER_BYTES;
  }

  @Override
  public boolean isDirect() {
    return true;
  }

  private final class CountedBuffer implements PooledByteBuffer {
    private final PooledByteBuffer buffer;
    private final AtomicBoolean open = new AtomicBoolean(true);

    CountedBuffer(PooledByteBuffer buffer) {
      this.buffer = buffer;
    }

    @Override
    public ByteBuffer getBuffer() {
      return buffer.getBuffer();
    }

    @Override
    public void close() {
      if (open.compareAndSet(true, false)) {
        buffer.close();
        inUse.decrementAndGet();
      }
    }

    @Override
    public boolean isOpen() {
      return open.get();
    }
  }
}
