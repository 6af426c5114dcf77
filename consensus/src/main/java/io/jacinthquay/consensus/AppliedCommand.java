package io.jacinthquay.consensus;

import java.util.Objects;

/**
 * The result of a command that was committed and applied.
 *
 * @param index the log index of the command, 1 or more
 * @param result the bytes that the state machine returned
 */
public record AppliedCommand(long index, byte[] result) {
  /**
   * Checks that the result is present.
   *
   * @throws NullPointerException if the result is null
   */
  public AppliedCommand {
    Objects.requireNonNull(result, "result");
  }
}
