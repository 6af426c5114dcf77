package io.jacinthquay.runtime.http;

import java.nio.ByteBuffer;

/**
 * Estimates the memory that the parser takes for the trailers of chunked content, from above.
 *
 * <p>It finds their start as the parser does, which skips chunk extensions without keeping them.
 */
final class TrailerCost {
  private static final int HEX = 16;

  /** Greater sizes of chunks are cut off; no response is as large. */
  private static final long MAX_CHUNK_BYTES = Long.MAX_VALUE / (2 * HEX);

  private enum Part {
    SIZE,
    EXTENSION,
    CONTENT,
    CONTENT_END,
    TRAILERS
  }

  private final HeadCost trailers = new HeadCost();
  private Part part = Part.SIZE;
  private long chunkBytes;

  /** Adds the part of a buffer between two positions and returns the bytes of memory so far. */
  long add(ByteBuffer read, int from, int to) {
    int next = from;
    while (next < to && part != Part.TRAILERS) {
      if (part == Part.CONTENT) {
        int count = (int) Math.min(chunkBytes, to - next);
        chunkBytes -= count;
        next += count;
        part = chunkBytes == 0 ? Part.CONTENT_END : part;
      } else {
        addFraming(read.get(next));
        next++;
      }
    }
    return trailers.add(read, next, to);
  }

  private void addFraming(byte next) {
    int digit = part == Part.SIZE ? Character.digit((char) next, HEX) : -1;
    if (digit >= 0) {
      chunkBytes = Math.min(MAX_CHUNK_BYTES, HEX * chunkBytes + digit);
    } else if (next == '\n') {
      part = afterLine();
    } else if (part == Part.SIZE) {
      part = Part.EXTENSION;
    }
  }

  private Part afterLine() {
    if (part == Part.CONTENT_END) {
      return Part.SIZE;
    }
    return chunkBytes == 0 ? Part.TRAILERS : Part.CONTENT;
  }
}
