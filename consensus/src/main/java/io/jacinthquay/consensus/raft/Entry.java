package io.jacinthquay.consensus.raft;

import java.util.Objects;

/**
 * One log entry.
 *
 * @param index its position, 1 or more
 * @param term the term of the leader that created it
 * @param payload what it carries
 */
public record Entry(long index, long term, Payload payload) {
  private static final int OVERHEAD_BYTES = 32;

  /**
   * Checks the position.
   *
   * @throws IllegalArgumentException if index or term is below 1
   */
  public Entry {
    Objects.requireNonNull(payload, "payload");
    if (index < 1 || term < 1) {
      throw new IllegalArgumentException("index and term must be 1 or more");
    }
  }

  /**
   * Estimates the size for flow control.
   *
   * @return bytes, with a fixed overhead
   */
  public int size() {
    return payload instanceof Payload.Command command
        ? OVERHEAD_BYTES + command.bytes().length
        : OVERHEAD_BYTES;
  }
}
