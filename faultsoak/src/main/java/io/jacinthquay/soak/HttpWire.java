package io.jacinthquay.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

/** Reads HTTP/1.1 strictly and byte by byte, apart from the library that the programs use. */
final class HttpWire {
  private static final int MOST_HEAD = 64 * 1024;
  private static final int HEX = 16;

  private HttpWire() {}

  /**
   * First line and fields of a message.
   *
   * @param line the first line
   * @param fields by name in lower case
   */
  record Head(String line, Map<String, String> fields) {
    Head {
      fields = Map.copyOf(fields);
    }

    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the second word: the target of a request, the status of an answer. */
    String second() {
      String[] words = line.split(" ", 3);
      return words.length < 2 ? "" : words[1];
    }

    OptionalLong number(String name) {
      String text = field(name);
      return text.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
    }
  }

  /** Takes the body as it arrives. */
  interface Part {
    void part(String text) throws IOException;
  }

  /**
   * Reads a head.
   *
   * @throws EOFException if the connection ends before it is whole
   */
  static Head head(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
      int next = in.read();
      if (next < 0 || text.length() > MOST_HEAD) {
        throw new EOFException(text.length() + " bytes of a head");
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
   * Reads a body as its head frames it.
   *
   * @throws EOFException if the connection ends before it is whole
   */
  static void body(Head head, InputStream in, Part parts) throws IOException {
    if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      chunks(in, parts);
      return;
    }
    long length = head.number("Content-Length").orElse(0);
    byte[] buffer = new byte[8 * 1024];
    while (length > 0) {
      int count = in.read(buffer, 0, (int) Math.min(buffer.length, length));
      if (count < 0) {
        throw new EOFException(length + " bytes of the body are missing");
      }
      parts.part(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
      length -= count;
    }
  }

  private static void chunks(InputStream in, Part parts) throws IOException {
    while (true) {
      int size = Integer.parseInt(line(in).split(";", 2)[0].trim(), HEX);
      if (size == 0) {
        while (!line(in).isEmpty()) {
          // Trailers say nothing here.
        }
        return;
      }
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("a chunk broke off");
      }
      parts.part(new String(chunk, StandardCharsets.ISO_8859_1));
      line(in);
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("a line broke off");
      }
      if (next == '\n') {
        return line.toString().stripTrailing();
      }
      line.append((char) next);
    }
  }

  /** Returns one chunk. */
  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
