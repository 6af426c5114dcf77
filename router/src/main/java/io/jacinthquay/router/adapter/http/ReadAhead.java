package io.jacinthquay.router.adapter.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/** Bytes of one connection that were read before anybody asked; used on one I/O thread. */
final class ReadAhead {
  /** Bytes that each connection may keep whatever the others keep. */
  private static final int OWN_BYTES = 4 * 1024;

  /** Most bytes of one read. */
  private static final int PIECE_BYTES = 4 * 1024;

  private final BodyMemory memory;
  private final int mostBytes;
  private final Deque<ByteBuffer> pieces = new ArrayDeque<>();
  private int size;
  private long taken;

  /**
   * Returns a store without bytes.
   *
   * @param memory what all connections share for all that is above their own few bytes
   * @param mostBytes most bytes that are kept
   */
  ReadAhead(BodyMemory memory, int mostBytes) {
    this.memory = memory;
    this.mostBytes = mostBytes;
  }

  boolean isEmpty() {
    return pieces.isEmpty();
  }

  /** Returns a buffer for the next read, without room if no more may be kept now. */
  ByteBuffer room() {
    int bytes = Math.max(0, Math.min(PIECE_BYTES, mostBytes - size));
    long missing = shared(size + bytes) - taken;
    if (missing > 0) {
      if (!memory.tryTake(missing)) {
        return ByteBuffer.allocate(0);
      }
      taken += missing;
    }
    return ByteBuffer.allocate(bytes);
  }

  private static long shared(int bytes) {
    return Math.max(0, bytes - OWN_BYTES);
  }

  /** Keeps what was read into a buffer that {@link #room} returned. */
  void add(ByteBuffer read) {
    if (read.hasRemaining()) {
      pieces.addLast(read);
      size += read.remaining();
    }
    giveBackUnused();
  }

  /** Moves bytes into a buffer and returns how many. */
  int take(ByteBuffer target) {
    int before = target.position();
    while (target.hasRemaining() && !pieces.isEmpty()) {
      ByteBuffer piece = pieces.peekFirst();
      int count = Math.min(target.remaining(), piece.remaining());
      target.put(piece.slice().limit(count));
      piece.position(piece.position() + count);
      if (!piece.hasRemaining()) {
        pieces.removeFirst();
      }
    }
    int moved = target.position() - before;
    size -= moved;
    giveBackUnused();
    return moved;
  }

  /** Forgets all bytes. */
  void clear() {
    pieces.clear();
    size = 0;
    giveBackUnused();
  }

  private void giveBackUnused() {
    long unused = taken - shared(size);
    if (unused > 0) {
      memory.giveBack(unused);
      taken -= unused;
    }
  }
}
