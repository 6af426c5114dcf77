package io.jacinthquay.router.service.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Looks for a key in bytes, also where it is escaped by percent signs or as in JSON. */
final class KeySearch {
  /** Layers of escapes that are taken off. */
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

  /** Takes one layer of escapes off; what is no escape stays. */
  private static String unescape(String text) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(text.length());
    int at = 0;
    while (at < text.length()) {
      char c = text.charAt(at);
      int percent = c == '%' ? number(text, at + 1, 2) : -1;
      int unicode = isUnicodeEscape(text, at) ? number(text, at + 2, 4) : -1;
      if (percent >= 0) {
        out.write(percent);
        at += 3;
      } else if (unicode >= 0) {
        out.writeBytes(String.valueOf((char) unicode).getBytes(StandardCharsets.UTF_8));
        at += 6;
      } else if (c == '\\' && at + 1 < text.length()) {
        out.write(text.charAt(at + 1));
        at += 2;
      } else {
        out.write(c);
        at++;
      }
    }
    return latin1(out.toByteArray());
  }

  private static boolean isUnicodeEscape(String text, int at) {
    return text.startsWith("\\u", at);
  }

  /** Returns the value of hexadecimal digits, or -1 if there are none. */
  private static int number(String text, int from, int digits) {
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
