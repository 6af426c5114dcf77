package io.jacinthquay.runtime.http;

import java.nio.ByteBuffer;

/**
 * Finds the end of a chunked body and checks its framing, without a copy of the content.
 *
 * <p>Undertow's parser takes each character that is no digit for the end of a size, and no digits
 * for the last chunk: a body that breaks off in this way looks complete to it.
 *
 * <p>Source: RFC 9112, section 7.1.
 */
public final class ChunkedFraming {
  /** Most digits of a size, leading zeros included; as many as 64 bits have. */
  private static final int MAX_SIZE_DIGITS = 16;

  private static final int HEX_RADIX = 16;

  /** What the next byte belongs to. */
  private enum State {
    SIZE,
    BLANK,
    EXTENSION,
    SIZE_END,
    CONTENT,
    CONTENT_RETURN,
    CONTENT_END,
    TRAILERS,
    COMPLETE
  }

  private final FieldLine trailer = new FieldLine();
  private State state = State.SIZE;
  private int digits;
  private long remainingBytes;
  private int trailersStart = -1;

  /** Begins another body. */
  void restart() {
    beginSize();
    trailer.clear();
  }

  private void beginSize() {
    state = State.SIZE;
    digits = 0;
    remainingBytes = 0;
  }

  /** Returns whether the last chunk and its trailers were read. */
  public boolean isComplete() {
    return state == State.COMPLETE;
  }

  /**
   * Reads the part of a buffer between two positions, up to the end of the body.
   *
   * @return the position behind the last byte of the body that was read
   * @throws InvalidFramingException if the bytes are no chunks
   */
  public int read(ByteBuffer buffer, int from, int to) throws InvalidFramingException {
    int next = from;
    trailersStart = state == State.TRAILERS ? from : -1;
    while (next < to && state != State.COMPLETE) {
      if (state == State.CONTENT) {
        int skipped = (int) Math.min(remainingBytes, to - next);
        remainingBytes -= skipped;
        next += skipped;
        if (remainingBytes == 0) {
          state = State.CONTENT_RETURN;
        }
      } else {
        boolean inSize = state == State.SIZE_END;
        readByte(buffer.get(next));
        next++;
        if (inSize && state == State.TRAILERS) {
          trailersStart = next;
        }
      }
    }
    return next;
  }

  /** Returns the position from which the last read was of trailers, or -1 if there was none. */
  int trailersStart() {
    return trailersStart;
  }

  private void readByte(byte next) throws InvalidFramingException {
    switch (state) {
      case SIZE -> readSize(next);
      case BLANK -> readBlank(next);
      case EXTENSION -> readExtension(next);
      case SIZE_END -> {
        expect(next, '\n', "the size of a chunk doesn't end with CR and LF");
        state = remainingBytes == 0 ? State.TRAILERS : State.CONTENT;
      }
      case CONTENT_RETURN -> {
        expect(next, '\r', "a chunk doesn't end with CR and LF");
        state = State.CONTENT_END;
      }
      case CONTENT_END -> {
        expect(next, '\n', "a chunk doesn't end with CR and LF");
        beginSize();
      }
      case TRAILERS -> readTrailer(next);
      default -> throw new IllegalStateException(state.name());
    }
  }

  private static void expect(byte next, char expected, String failure)
      throws InvalidFramingException {
    if (next != expected) {
      throw new InvalidFramingException(failure);
    }
  }

  private void readSize(byte next) throws InvalidFramingException {
    // Character.digit also knows the digits of other scripts; a byte has none of them.
    int digit = next < 0 ? -1 : Character.digit((char) next, HEX_RADIX);
    if (digit >= 0) {
      digits++;
      if (digits > MAX_SIZE_DIGITS || remainingBytes > Long.MAX_VALUE / HEX_RADIX) {
        throw new InvalidFramingException("the size of a chunk is too large");
      }
      remainingBytes = remainingBytes * HEX_RADIX + digit;
    } else if (digits == 0) {
      throw new InvalidFramingException("the size of a chunk is no number");
    } else {
      readBehindSize(next);
    }
  }

  private void readBehindSize(byte next) throws InvalidFramingException {
    switch (next) {
      case '\r' -> state = State.SIZE_END;
      case ';' -> state = State.EXTENSION;
      case ' ', '\t' -> state = State.BLANK;
      default -> throw new InvalidFramingException("the size of a chunk is no number");
    }
  }

  /** Blanks are allowed only before an extension. */
  private void readBlank(byte next) throws InvalidFramingException {
    if (next == ';') {
      state = State.EXTENSION;
    } else if (next != ' ' && next != '\t') {
      throw new InvalidFramingException("the size of a chunk is no number");
    }
  }

  private void readExtension(byte next) throws InvalidFramingException {
    if (next == '\r') {
      state = State.SIZE_END;
    } else if (next == '\n' || next == 0) {
      throw new InvalidFramingException("an extension of a chunk has an invalid character");
    }
  }

  private void readTrailer(byte next) throws InvalidFramingException {
    if (!trailer.add(next)) {
      return;
    }
    if (trailer.isEmpty()) {
      state = State.COMPLETE;
    } else {
      trailer.checkField();
    }
  }
}
