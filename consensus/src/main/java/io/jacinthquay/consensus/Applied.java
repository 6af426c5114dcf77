package io.jacinthquay.consensus;

import java.util.Objects;

/**
 * A command that was committed and applied.
 *
 * @param index its log index, 1 or more
 * @param result what the state machine answered
 */
public record Applied(long index, byte[] result) {
  /** Checks that the result is present. */
  public Applied {
    Objects.requireNonNull(result, "result");
  }
}
