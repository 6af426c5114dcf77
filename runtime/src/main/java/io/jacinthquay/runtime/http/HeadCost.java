package io.jacinthquay.runtime.http;

import java.nio.ByteBuffer;

/** Estimates the memory that the parser takes for a head, from above. */
public final class HeadCost {
  /** The parser's text grows by doubling. */
  private static final int BYTES_PER_BYTE = 2;

  private static final int BYTES_PER_HEADER = 220;
  private static final int BYTES_PER_PARAMETER = 160;

  private long costBytes;
  private boolean started;
  private boolean lineEmpty;
  private boolean ended;

  /**
   * Adds the part of a buffer between two positions, up to the empty line that ends the head, and
   * returns the bytes of memory so far. Anything added after that line counts: the parser then
   * didn't take it for the end.
   */
  public long add(ByteBuffer read, int from, int to) {
    boolean mayEnd = !ended;
    int next = from;
    while (next < to && !(mayEnd && ended)) {
      addByte(read.get(next));
      next++;
    }
    costBytes += (long) BYTES_PER_BYTE * (next - from);
    return costBytes;
  }

  private void addByte(byte next) {
    switch (next) {
      case '\n' -> {
        costBytes += BYTES_PER_HEADER;
        ended |= started && lineEmpty;
        lineEmpty = true;
      }
      case '\r' -> {}
      case '&', ';' -> {
        costBytes += BYTES_PER_PARAMETER;
        lineEmpty = false;
        started = true;
      }
      default -> {
        lineEmpty = false;
        started = true;
      }
    }
  }

  /** Returns the bytes of memory of the head, and starts anew. */
  public long reset() {
    long headBytes = costBytes;
    costBytes = 0;
    started = false;
    lineEmpty = false;
    ended = false;
    return headBytes;
  }
}
