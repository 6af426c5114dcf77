package io.jacinthquay.router.service.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Searches bytes for a key, including its percent-encoded and JSON-escaped forms. */
final class KeySearch {
  /** Number of nested escape layers that are decoded. */
  private static final int MAX_LAYERS = 4;

  private static final int HEX = 16;

  private final String key;

  private KeySearch(String key) {
    this.key = key;
  }

  static KeySearch of(String key) {
    return new KeySearch(latin1(key.getBytes(StandardCharsets.UTF_8)));
  }

  boolean occursInAny(List<byte[]> parts) {
    return parts.stream().anyMatch(this::occursIn);
  }

  private boolean occursIn(byte[] part) {
    String text = latin1(part);
    for (int layer = 0; layer <= MAX_LAYERS; layer++) {
      if (text.contains(key)) {
        return true;
      }
      if (text.indexOf('%') < 0 && text.indexOf('\\') < 0) {
        return false;
      }
      String unescaped = unescape(text);
      if (unescaped.equals(text)) {
        return false;
      }
      text = unescaped;
    }
    return false;
  }

  private static String latin1(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Decodes one layer of escapes; all other text is left unchanged. */
  private static String unescape(String text) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(text.length());
    int pos = 0;
    while (pos < text.length()) {
      char c = text.charAt(pos);
      int percent = c == '%' ? parseHex(text, pos + 1, 2) : -1;
      int unicode = isUnicodeEscape(text, pos) ? parseHex(text, pos + 2, 4) : -1;
      if (percent >= 0) {
        out.write(percent);
        pos += 3;
      } else if (unicode >= 0) {
        out.writeBytes(String.valueOf((char) unicode).getBytes(StandardCharsets.UTF_8));
        pos += 6;
      } else if (c == '\\' && pos + 1 < text.length()) {
        out.write(text.charAt(pos + 1));
        pos += 2;
      } else {
        out.write(c);
        pos++;
      }
    }
    return latin1(out.toByteArray());
  }

  private static boolean isUnicodeEscape(String text, int pos) {
    return text.startsWith("\\u", pos);
  }

  /** Returns the value of hexadecimal digits, or -1 if the text there is no such number. */
  private static int parseHex(String text, int from, int digits) {
    if (from + digits > text.length()) {
      return -1;
    }
    int value = 0;
    for (int i = from; i < from + digits; i++) {
      int digit = Character.digit(text.charAt(i), HEX);
      if (digit < 0) {
        return -1;
      }
      value = value * HEX + digit;
    }
    return value;
  }
}
