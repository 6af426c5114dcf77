package io.jacinthquay.router.adapter.http;

import io.jacinthquay.runtime.http.BufferBudget;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/** A buffer of bytes that one connection read ahead; used on one I/O thread. */
final class ReadAhead {
  /** Bytes with which a connection may exceed the shared budget. */
  static final int SMALL_BYTES = 4 * 1024;

  /** Part of the budget up to which more is read ahead: bodies need the memory more. */
  private static final double MAX_BUDGET_SHARE = 0.75;

  /** Memory of a part besides its bytes. */
  private static final int PART_BYTES = 80;

  /** Largest read, in bytes. */
  private static final int CHUNK_BYTES = 4 * 1024;

  private final BufferBudget memory;
  private final int maxBytes;
  private final Deque<ByteBuffer> chunks = new ArrayDeque<>();
  private int size;
  private long reservedBytes;

  /**
   * Returns an empty buffer.
   *
   * @param memory the budget, shared by all connections
   * @param maxBytes most bytes that the buffer may hold
   */
  ReadAhead(BufferBudget memory, int maxBytes) {
    this.memory = memory;
    this.maxBytes = maxBytes;
  }

  boolean isEmpty() {
    return chunks.isEmpty();
  }

  /** Returns a buffer for the next read; it has no room if no more may be held now. */
  ByteBuffer room() {
    int bytes = Math.max(0, Math.min(CHUNK_BYTES, maxBytes - size));
    return ByteBuffer.allocate(reserve(bytes) ? bytes : 0);
  }

  private boolean reserve(int bytes) {
    long neededBytes = memoryBytes(size + bytes, chunks.size() + 1);
    long missingBytes = neededBytes - reservedBytes;
    if (missingBytes > 0) {
      boolean reserved =
          neededBytes <= SMALL_BYTES + PART_BYTES
              ? memory.tryReserveSmall(missingBytes)
              : memory.heldBytes() + missingBytes <= MAX_BUDGET_SHARE * memory.maxBytes()
                  && memory.tryReserve(missingBytes);
      if (!reserved) {
        return false;
      }
      reservedBytes += missingBytes;
    }
    return true;
  }

  private static long memoryBytes(int bytes, int parts) {
    return bytes + (long) PART_BYTES * parts;
  }

  /** Adds the bytes that were read into a buffer returned by {@link #room}. */
  void add(ByteBuffer read) {
    if (read.hasRemaining()) {
      // A buffer that is hardly filled would take much more memory than its bytes.
      chunks.addLast(read.remaining() < read.capacity() ? copyOf(read) : read);
      size += read.remaining();
    }
    releaseUnused();
  }

  /** Adds a copy of bytes before all others; returns false if there is no memory for them. */
  boolean addFirst(ByteBuffer earlier) {
    int bytes = earlier.remaining();
    if (!reserve(bytes)) {
      return false;
    }
    chunks.addFirst(copyOf(earlier));
    size += bytes;
    return true;
  }

  private static ByteBuffer copyOf(ByteBuffer bytes) {
    return ByteBuffer.allocate(bytes.remaining()).put(bytes.duplicate()).flip();
  }

  /** Moves bytes into a target buffer and returns their number. */
  int take(ByteBuffer target) {
    int before = target.position();
    while (target.hasRemaining() && !chunks.isEmpty()) {
      ByteBuffer chunk = chunks.peekFirst();
      int count = Math.min(target.remaining(), chunk.remaining());
      target.put(chunk.slice().limit(count));
      chunk.position(chunk.position() + count);
      if (!chunk.hasRemaining()) {
        chunks.removeFirst();
      }
    }
    int moved = target.position() - before;
    size -= moved;
    releaseUnused();
    return moved;
  }

  /** Returns the bytes of the budget that are held. */
  long memoryBytes() {
    return reservedBytes;
  }

  /** Discards all bytes. */
  void clear() {
    chunks.clear();
    size = 0;
    releaseUnused();
  }

  private void releaseUnused() {
    long unusedBytes = reservedBytes - memoryBytes(size, chunks.size());
    if (unusedBytes > 0) {
      memory.release(unusedBytes);
      reservedBytes -= unusedBytes;
    }
  }
}
