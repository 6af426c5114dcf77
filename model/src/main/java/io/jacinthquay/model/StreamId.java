package io.jacinthquay.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies a stream of events over all attempts of its caller: the customer and the id of the
 * attempt that brought the first event. It is a digest, since callers choose the ids of attempts.
 *
 * @param value lower-case hexadecimal digits, 32 of them
 */
public record StreamId(String value) {
  private static final int LENGTH = 32;
  private static final int BYTES = LENGTH / 2;

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  public StreamId {
    if (value.length() != LENGTH) {
      throw new IllegalArgumentException("a stream id has " + LENGTH + " digits");
    }
  }

  /**
   * Returns the id of a stream.
   *
   * @param customer the caller's customer; empty on open routes
   * @param attempt the id of the attempt that brought the first event
   */
  public static StreamId of(Optional<CustomerId> customer, String attempt) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(customer.map(CustomerId::value).orElse("").getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
      byte[] hash = digest.digest(attempt.getBytes(StandardCharsets.UTF_8));
      return new StreamId(HexFormat.of().formatHex(hash, 0, BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns the id with the given bytes. */
  public static StreamId of(byte[] bytes) {
    return new StreamId(HexFormat.of().formatHex(bytes));
  }

  /** Returns the bytes of the id. */
  public byte[] bytes() {
    return HexFormat.of().parseHex(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
