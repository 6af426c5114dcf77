package io.jacinthquay.router.service.request;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a byte stream into whole server-sent events, whatever the sizes of its parts. */
public final class SseSplitter {
  /** Largest event, in bytes. */
  public static final int MAX_EVENT_BYTES = 1024 * 1024;

  private static final int INITIAL_BYTES = 4 * 1024;

  /** Takes one event with its closing blank line. */
  public interface EventSink {
    /** Returns whether to go on. */
    boolean event(byte[] bytes, int from, int to);
  }

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int start;
  private int end;
  private int scanned;

  /**
   * Adds bytes.
   *
   * @return false if an event is too large
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

  private void makeRoom(int count) {
    int kept = end - start;
    int needed = kept + count;
    byte[] target = needed <= buffer.length ? buffer : new byte[Math.max(needed, 2 * kept)];
    System.arraycopy(buffer, start, target, 0, kept);
    buffer = target;
    scanned -= start;
    start = 0;
    end = kept;
  }

  /** Hands out every whole event. */
  public void drain(EventSink sink) {
    int next = nextEnd();
    while (next > 0) {
      int from = start;
      start = next;
      if (!sink.event(buffer, from, next)) {
        return;
      }
      next = nextEnd();
    }
    if (start == end) {
      start = 0;
      end = 0;
      scanned = 0;
    }
  }

  /** Returns the offset after the next blank line, or 0 if there is none yet. */
  private int nextEnd() {
    for (int at = Math.max(scanned, start); at < end; at++) {
      if (buffer[at] == '\n' && isBlankLineEnd(at)) {
        scanned = at + 1;
        return at + 1;
      }
    }
    scanned = end;
    return 0;
  }

  private boolean isBlankLineEnd(int at) {
    if (at > start && buffer[at - 1] == '\n') {
      return true;
    }
    return at > start + 1 && buffer[at - 1] == '\r' && buffer[at - 2] == '\n';
  }

  /** Returns whether part of an event has arrived and its rest has not. */
  public boolean holdsPart() {
    return start < end;
  }

  /** Returns a copy of the bytes that are not yet handed out. */
  public byte[] rest() {
    return Arrays.copyOfRange(buffer, start, end);
  }
}
