package io.jacinthquay.runtime.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * A body that arrives in parts of any size; small parts share a block of memory, so that many parts
 * take hardly more memory than their bytes.
 */
public final class BodyBuffer {
  private static final int MIN_BLOCK_BYTES = 1_024;
  private static final int MAX_BLOCK_BYTES = 64 * 1024;

  /** A body whose first part is at least an eighth of it gets one block, which saves a copy. */
  private static final int WHOLE_FACTOR = 8;

  /** Memory of a block besides its bytes. */
  private static final int BLOCK_OVERHEAD_BYTES = 80;

  private final Deque<ByteBuffer> blocks = new ArrayDeque<>();
  private final long expectedBytes;
  private ByteBuffer last = ByteBuffer.allocate(0);
  private int size;
  private long memoryBytes;

  /**
   * Returns an empty body.
   *
   * @param expectedBytes its length, or the largest length if it is not known
   */
  public BodyBuffer(long expectedBytes) {
    this.expectedBytes = expectedBytes;
  }

  /** Returns the number of bytes. */
  public int size() {
    return size;
  }

  /** Returns the bytes of memory that the body takes once a number of bytes is added. */
  public long memoryBytesWith(int count) {
    return count <= last.remaining()
        ? memoryBytes
        : memoryBytes + blockBytes(count - last.remaining()) + BLOCK_OVERHEAD_BYTES;
  }

  /** Adds bytes. */
  public void add(ByteBuffer data) {
    int count = data.remaining();
    if (count > last.remaining()) {
      long memoryAfter = memoryBytesWith(count);
      int shared = last.remaining();
      last.put(data.slice().limit(shared));
      data.position(data.position() + shared);
      last = ByteBuffer.allocate(blockBytes(count - shared));
      blocks.add(last);
      memoryBytes = memoryAfter;
    }
    last.put(data);
    size += count;
  }

  /**
   * Adds bytes if a holding, which holds nothing else, gets the memory for them.
   *
   * @return false if the response must be dropped; the bytes are not added then
   */
  public boolean tryAdd(ByteBuffer data, AnswerMemory.Holding holding) {
    boolean resized = holding.tryResize(memoryBytesWith(data.remaining()));
    if (resized) {
      add(data);
    }
    return resized;
  }

  /** Returns the size of a further block for at least the given bytes; as large as all before. */
  private int blockBytes(int count) {
    long remaining = expectedBytes - size;
    if (size == 0 && remaining <= (long) WHOLE_FACTOR * count) {
      return (int) Math.max(count, remaining);
    }
    long grown = Math.max(MIN_BLOCK_BYTES, Math.min(size, MAX_BLOCK_BYTES));
    return (int) Math.max(count, Math.min(grown, remaining));
  }

  /** Passes on all bytes, in parts, each of which is forgotten before the next. */
  public void drainTo(Consumer<ByteBuffer> parts) {
    while (!blocks.isEmpty()) {
      parts.accept(blocks.removeFirst().flip());
    }
    clear();
  }

  /** Returns all bytes and forgets them. */
  public byte[] takeAll() {
    byte[] body;
    if (blocks.size() == 1 && !last.hasRemaining()) {
      body = last.array();
    } else {
      ByteBuffer joined = ByteBuffer.allocate(size);
      blocks.forEach(block -> joined.put(block.flip()));
      body = joined.array();
    }
    clear();
    return body;
  }

  /** Forgets all bytes. */
  public void clear() {
    blocks.clear();
    last = ByteBuffer.allocate(0);
    size = 0;
    memoryBytes = 0;
  }
}
