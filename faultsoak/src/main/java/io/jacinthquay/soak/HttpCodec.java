package io.jacinthquay.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Reads HTTP/1.1 messages strictly and byte by byte. It is independent of the HTTP library of the
 * programs, so that a fault there is not hidden.
 */
final class HttpCodec {
  private static final int MAX_HEAD_BYTES = 64 * 1024;
  private static final int HEX_RADIX = 16;

  private HttpCodec() {}

  /**
   * The first line and the header fields of a message.
   *
   * @param line the first line
   * @param fields values by name in lower case
   */
  record Head(String line, Map<String, String> fields) {
    Head {
      fields = Map.copyOf(fields);
    }

    /** Returns the value of a field; empty if it is absent. */
    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the second word of the first line: the target of a request, or a status. */
    String secondWord() {
      String[] words = line.split(" ", 3);
      return words.length < 2 ? "" : words[1];
    }

    /**
     * Returns the value of a numeric field, if it is present.
     *
     * @throws NumberFormatException if the value is not a number
     */
    OptionalLong longField(String name) {
      String text = field(name);
      return text.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
    }
  }

  /** Receives the parts of a body as they arrive. */
  interface BodyConsumer {
    void accept(String text) throws IOException;
  }

  /**
   * Reads the head of a message.
   *
   * @throws EOFException if the connection ends before the head does, or the head exceeds 64 KiB
   */
  static Head readHead(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
      int next = in.read();
      if (next < 0 || text.length() > MAX_HEAD_BYTES) {
        throw new EOFException("incomplete or oversized head of " + text.length() + " bytes");
      }
      text.append((char) next);
    }
    String[] lines = text.toString().split("\r\n");
    Map<String, String> fields = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        fields.put(
            lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
            lines[i].substring(colon + 1).trim());
      }
    }
    return new Head(lines[0], fields);
  }

  /**
   * Reads a body; the head tells whether it is chunked, and its length.
   *
   * @throws EOFException if the connection ends before the body does
   */
  static void readBody(Head head, InputStream in, BodyConsumer parts) throws IOException {
    if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      readChunks(in, parts);
      return;
    }
    long length = head.longField("Content-Length").orElse(0);
    byte[] buffer = new byte[8 * 1024];
    while (length > 0) {
      int count = in.read(buffer, 0, (int) Math.min(buffer.length, length));
      if (count < 0) {
        throw new EOFException(length + " bytes of the body are missing");
      }
      parts.accept(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
      length -= count;
    }
  }

  private static void readChunks(InputStream in, BodyConsumer parts) throws IOException {
    while (true) {
      int size = Integer.parseInt(readLine(in).split(";", 2)[0].trim(), HEX_RADIX);
      if (size == 0) {
        while (!readLine(in).isEmpty()) {
          // Trailers are ignored.
        }
        return;
      }
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("the connection ended within a chunk");
      }
      parts.accept(new String(chunk, StandardCharsets.ISO_8859_1));
      readLine(in);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the connection ended within a line");
      }
      if (next == '\n') {
        return line.toString().stripTrailing();
      }
      line.append((char) next);
    }
  }

  /** Returns a text as one chunk of a chunked body. */
  static String encodeChunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns the ISO 8859-1 bytes of a text. */
  static byte[] encode(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
