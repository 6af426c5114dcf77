package io.jacinthquay.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a caller's API key, in lower-case hexadecimal.
 *
 * <p>Only digests are stored and sent between processes, never the keys themselves.
 *
 * <pre>{@code
 * KeyDigest digest = KeyDigest.ofKey(presentedKey);
 * }</pre>
 *
 * @param hex 64 hexadecimal digits
 */
public record KeyDigest(String hex) {
  private static final int HEX_LENGTH = 64;

  /**
   * Validates the format.
   *
   * @throws IllegalArgumentException if {@code hex} is not 64 lower-case hexadecimal digits
   */
  public KeyDigest {
    if (hex == null || !hex.matches("[0-9a-f]{" + HEX_LENGTH + "}")) {
      throw new IllegalArgumentException("a key digest must have 64 lower-case hexadecimal digits");
    }
  }

  /**
   * Returns the digest of a key.
   *
   * @param key the key as presented by the caller
   * @throws IllegalStateException if the Java runtime lacks SHA-256
   */
  public static KeyDigest ofKey(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      byte[] bytes = sha256.digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyDigest(HexFormat.of().formatHex(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java runtime does not support SHA-256", e);
    }
  }

  /** Returns the first 8 digits, which are safe to log. */
  public String abbreviated() {
    return hex.substring(0, 8);
  }
}
