package io.jacinthquay.router.service.request;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a byte stream into complete server-sent events. */
public final class SseSplitter {
  /** Maximum size of an event, in bytes. */
  public static final int MAX_EVENT_BYTES = 1024 * 1024;

  private static final int INITIAL_BYTES = 4 * 1024;

  /** Largest buffer that is kept while it is empty, in bytes. */
  private static final int MAX_KEPT_BYTES = 64 * 1024;

  /** Receives complete events. */
  public interface EventSink {
    /**
     * Handles one event, including its closing blank line.
     *
     * @param from offset of the event's first byte
     * @param to offset after the event's last byte
     * @return false to stop {@link SseSplitter#drain}
     */
    boolean onEvent(byte[] bytes, int from, int to);
  }

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int start;
  private int end;
  private int scanned;

  /**
   * Adds data to the buffer.
   *
   * @return false if an incomplete event is larger than {@link #MAX_EVENT_BYTES}
   */
  public boolean add(ByteBuffer data) {
    int count = data.remaining();
    if (end + count > buffer.length) {
      makeRoom(count);
    }
    data.get(buffer, end, count);
    end += count;
    return end - start - count <= MAX_EVENT_BYTES;
  }

  /** Returns the size of the buffer, in bytes. */
  public int capacity() {
    return buffer.length;
  }

  /** Returns the size that the buffer needs to add a number of bytes. */
  public int capacityWith(int count) {
    int kept = end - start;
    return kept + count <= buffer.length ? buffer.length : Math.max(kept + count, 2 * kept);
  }

  private void makeRoom(int count) {
    int kept = end - start;
    int capacity = capacityWith(count);
    byte[] target = capacity == buffer.length ? buffer : new byte[capacity];
    System.arraycopy(buffer, start, target, 0, kept);
    buffer = target;
    scanned -= start;
    start = 0;
    end = kept;
  }

  /** Passes the complete events to a sink, until none is left or the sink returns false. */
  public void drain(EventSink sink) {
    int next = nextEnd();
    while (next > 0) {
      int from = start;
      start = next;
      if (!sink.onEvent(buffer, from, next)) {
        return;
      }
      next = nextEnd();
    }
    if (start == end) {
      if (buffer.length > MAX_KEPT_BYTES) {
        buffer = new byte[INITIAL_BYTES];
      }
      start = 0;
      end = 0;
      scanned = 0;
    }
  }

  /** Returns the offset after the next blank line, or 0 if none has arrived yet. */
  private int nextEnd() {
    for (int pos = Math.max(scanned, start); pos < end; pos++) {
      if (buffer[pos] == '\n' && isBlankLineEnd(pos)) {
        scanned = pos + 1;
        return pos + 1;
      }
    }
    scanned = end;
    return 0;
  }

  private boolean isBlankLineEnd(int pos) {
    if (pos > start && buffer[pos - 1] == '\n') {
      return true;
    }
    return pos > start + 1 && buffer[pos - 1] == '\r' && buffer[pos - 2] == '\n';
  }

  /** Returns whether the buffer holds data that was not passed to a sink. */
  public boolean hasRemaining() {
    return start < end;
  }

  /** Returns a copy of the bytes that were not passed to a sink. */
  public byte[] remaining() {
    return Arrays.copyOfRange(buffer, start, end);
  }
}
