package io.jacinthquay.consensus.raft;

import java.util.Objects;

/**
 * An entry of the replicated log.
 *
 * @param index the position in the log, 1 or more
 * @param term the term of the leader that created it
 * @param payload the content
 */
public record Entry(long index, long term, Payload payload) {
  /** Approximate bytes of an entry beside its command. */
  private static final int OVERHEAD_BYTES = 32;

  /**
   * Checks the index and term.
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
   * Returns the approximate size for flow control.
   *
   * @return the size in bytes, including a fixed overhead
   */
  public int size() {
    return payload instanceof Payload.Command command
        ? OVERHEAD_BYTES + command.bytes().length
        : OVERHEAD_BYTES;
  }
}
