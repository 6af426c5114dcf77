package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.BufferBudget;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/** A buffer of bytes that one connection read ahead; used on one I/O thread. */
final class ReadAhead {
  /** Bytes that each connection may hold outside the shared budget. */
  private static final int OWN_BYTES = 4 * 1024;

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
   * @param memory the budget, shared by all connections, for bytes beyond {@link #OWN_BYTES}
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
    long missingBytes = sharedBytes(size + bytes) - reservedBytes;
    if (missingBytes > 0) {
      if (!memory.tryReserve(missingBytes)) {
        return false;
      }
      reservedBytes += missingBytes;
    }
    return true;
  }

  private static long sharedBytes(int bytes) {
    return Math.max(0, bytes - OWN_BYTES);
  }

  /** Adds the bytes that were read into a buffer returned by {@link #room}. */
  void add(ByteBuffer read) {
    if (read.hasRemaining()) {
      chunks.addLast(read);
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
    chunks.addFirst(ByteBuffer.allocate(bytes).put(earlier).flip());
    size += bytes;
    return true;
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

  /** Discards all bytes. */
  void clear() {
    chunks.clear();
    size = 0;
    releaseUnused();
  }

  private void releaseUnused() {
    long unusedBytes = reservedBytes - sharedBytes(size);
    if (unusedBytes > 0) {
      memory.release(unusedBytes);
      reservedBytes -= unusedBytes;
    }
  }
}
