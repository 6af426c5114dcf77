package io.jacinthquay.runtime.http;

import java.nio.ByteBuffer;

/**
 * Estimates the memory that the parser takes for a head, from above.
 *
 * <p>The head of an interim response counts with the head that follows it.
 */
public final class HeadCost {
  /** The parser's text grows by doubling. */
  private static final int BYTES_PER_BYTE = 2;

  private static final int BYTES_PER_HEADER = 220;
  private static final int BYTES_PER_PARAMETER = 160;

  /** How an interim response begins; {@code ?} stands for any character. */
  private static final String INTERIM_START = "HTTP/1.? 1";

  private long costBytes;
  private boolean started;
  private boolean lineEmpty;
  private boolean ended;
  private int interimMatched;

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
        endLine();
      }
      case '\r' -> {}
      case '&', ';' -> {
        costBytes += BYTES_PER_PARAMETER;
        addText(next);
      }
      default -> addText(next);
    }
  }

  private void addText(byte next) {
    boolean matches = interimMatched >= 0 && interimMatched < INTERIM_START.length();
    if (matches) {
      char expected = INTERIM_START.charAt(interimMatched);
      interimMatched = expected == '?' || expected == next ? interimMatched + 1 : -1;
    }
    lineEmpty = false;
    started = true;
  }

  private void endLine() {
    if (!started) {
      return;
    }
    boolean interim = interimMatched == INTERIM_START.length();
    if (!lineEmpty) {
      interimMatched = interim ? interimMatched : -1;
      lineEmpty = true;
    } else if (interim) {
      started = false;
      lineEmpty = false;
      interimMatched = 0;
    } else {
      ended = true;
    }
  }

  /** Returns the bytes of memory of the head, and starts anew. */
  public long reset() {
    long headBytes = costBytes;
    costBytes = 0;
    started = false;
    lineEmpty = false;
    ended = false;
    interimMatched = 0;
    return headBytes;
  }
}
