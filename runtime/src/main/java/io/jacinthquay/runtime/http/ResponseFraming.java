package io.jacinthquay.runtime.http;

import java.nio.ByteBuffer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the end of each response on a connection and checks its framing, besides the parser that
 * reads the response. A response is complete only if both find so.
 *
 * <p>Source: RFC 9112, sections 2, 4 to 7.
 */
final class ResponseFraming {
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9]{2})(?: .*)?", Pattern.DOTALL);

  /** Digits of any length that 63 bits hold. */
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  /** Position of the status in a status line. */
  private static final int STATUS_OFFSET = "HTTP/1.1 ".length();

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int STATUS_CLASS = 100;

  /** What the next byte belongs to. */
  private enum State {
    STATUS_LINE,
    FIELDS,
    CHUNKS,
    CONTENT,
    UNTIL_END,
    COMPLETE
  }

  private final FieldLine line = new FieldLine();
  private final ChunkedFraming chunks = new ChunkedFraming();
  private State state = State.COMPLETE;
  private boolean toHead;
  private int status;
  private boolean oldVersion;
  private boolean chunked;
  private long length;
  private boolean excess;
  private int headEnd;
  private int trailersStart;
  private boolean endedByConnection;

  /**
   * Begins a response.
   *
   * @param method the method of its request
   */
  void begin(String method) {
    toHead = method.equals("HEAD");
    excess = false;
    endedByConnection = false;
    beginHead();
  }

  private void beginHead() {
    state = State.STATUS_LINE;
    line.clear();
    chunked = false;
    length = -1;
  }

  /** Returns whether the whole response was read. */
  boolean isComplete() {
    return state == State.COMPLETE;
  }

  /** Returns whether bytes were read behind the end of the response; they belong to no request. */
  boolean hasExcess() {
    return excess;
  }

  /**
   * Reads the part of a buffer between two positions, and changes the statuses of interim responses
   * to 100 in it, the only one that the parser skips.
   *
   * @throws InvalidFramingException if the end of the response can't be known
   */
  void read(ByteBuffer buffer, int from, int to) throws InvalidFramingException {
    int next = from;
    headEnd = -1;
    trailersStart = -1;
    while (next < to && state != State.COMPLETE) {
      boolean inHead = isInHead();
      next = readPart(buffer, next, to);
      if (inHead && !isInHead()) {
        headEnd = next;
      }
    }
    excess |= next < to;
  }

  /**
   * Returns the position behind the head if the last read began in it and reached its end, or -1.
   */
  int headEnd() {
    return headEnd;
  }

  /** Returns the position from which the last read was of trailers, or -1 if there was none. */
  int trailersStart() {
    return trailersStart;
  }

  private boolean isInHead() {
    return state == State.STATUS_LINE || state == State.FIELDS;
  }

  private int readPart(ByteBuffer buffer, int from, int to) throws InvalidFramingException {
    return switch (state) {
      case CHUNKS -> {
        int next = chunks.read(buffer, from, to);
        trailersStart = chunks.trailersStart();
        state = chunks.isComplete() ? State.COMPLETE : State.CHUNKS;
        yield next;
      }
      case CONTENT -> {
        int skipped = (int) Math.min(length, to - from);
        length -= skipped;
        state = length == 0 ? State.COMPLETE : State.CONTENT;
        yield from + skipped;
      }
      case UNTIL_END -> to;
      default -> {
        boolean ofInterim = isDigitOfInterimStatus();
        if (line.add(buffer.get(from))) {
          readLine();
        } else if (ofInterim) {
          buffer.put(from, (byte) '0');
        }
        yield from + 1;
      }
    };
  }

  /** Returns whether the next byte is the second or third digit of a status from 100 to 199. */
  private boolean isDigitOfInterimStatus() {
    if (state != State.STATUS_LINE || !line.isBetween(STATUS_OFFSET + 1, STATUS_OFFSET + 2)) {
      return false;
    }
    String text = line.text();
    return text.startsWith("HTTP/1.") && text.startsWith(" 1", STATUS_OFFSET - 1);
  }

  /** Records that the connection has ended, which also ends a response without a length. */
  void end() {
    if (state == State.UNTIL_END) {
      state = State.COMPLETE;
      endedByConnection = true;
    }
  }

  /** Returns whether the response had no length and ended with its connection. */
  boolean endedByConnection() {
    return endedByConnection;
  }

  /** Returns whether the response ended with its head, as its status has no content. */
  boolean endedByStatus() {
    return isComplete() && !toHead && isStatusWithoutContent();
  }

  private boolean isStatusWithoutContent() {
    return status == NO_CONTENT || status == NOT_MODIFIED;
  }

  private void readLine() throws InvalidFramingException {
    if (state == State.STATUS_LINE) {
      readStatusLine();
      state = State.FIELDS;
    } else if (line.isEmpty()) {
      endHead();
    } else {
      line.checkField();
      readField();
    }
  }

  private void readStatusLine() throws InvalidFramingException {
    Matcher matcher = STATUS_LINE.matcher(line.text());
    if (!matcher.matches()) {
      throw new InvalidFramingException("its first line is no status line of HTTP/1");
    }
    oldVersion = matcher.group(1).equals("0");
    status = Integer.parseInt(matcher.group(2));
    if (status == SWITCHING_PROTOCOLS) {
      throw new InvalidFramingException("it switches to a protocol that nobody asked for");
    }
  }

  private void readField() throws InvalidFramingException {
    if (line.isNamed("Transfer-Encoding")) {
      if (chunked || !line.value().equalsIgnoreCase("chunked")) {
        throw new InvalidFramingException("its transfer encoding is not chunked alone");
      }
      chunked = true;
    } else if (line.isNamed("Content-Length")) {
      readLength(line.value());
    }
  }

  /** A length may be repeated, but not be another one: the parser knows only the first. */
  private void readLength(String value) throws InvalidFramingException {
    if (!LENGTH.matcher(value).matches()) {
      throw new InvalidFramingException("its length is no number");
    }
    long bytes = Long.parseLong(value);
    if (length >= 0 && length != bytes) {
      throw new InvalidFramingException("it has two lengths");
    }
    length = bytes;
  }

  private void endHead() throws InvalidFramingException {
    if (chunked && (length >= 0 || oldVersion)) {
      throw new InvalidFramingException("its transfer encoding contradicts its length or version");
    }
    if (status / STATUS_CLASS == 1) {
      beginHead();
    } else if (toHead || isStatusWithoutContent()) {
      state = State.COMPLETE;
    } else if (chunked) {
      chunks.restart();
      state = State.CHUNKS;
    } else if (length >= 0) {
      state = length == 0 ? State.COMPLETE : State.CONTENT;
    } else {
      state = State.UNTIL_END;
    }
  }
}
