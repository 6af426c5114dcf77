package io.jacinthquay.consensus;

import java.io.IOException;
import java.io.InputStream;

/**
 * The deterministic state machine to which the log is applied. All calls come from one thread, in
 * log order. A result may depend only on the command and on earlier ones, so times and random
 * values must be part of the commands.
 */
public interface StateMachine {
  /**
   * Applies a committed command.
   *
   * @param index the log index, higher than in the previous call
   * @param command the bytes that were proposed
   * @return the result for the proposer
   */
  byte[] apply(long index, byte[] command);

  /**
   * Captures the current state. The capture should be fast; the writer runs later on another thread
   * while further commands are applied, so it must hold an immutable view.
   *
   * @return a writer of the captured state
   */
  SnapshotWriter snapshot();

  /**
   * Replaces the whole state with that of a snapshot. Called again if it fails.
   *
   * @param index the log index that the snapshot covers
   * @param in the bytes that a {@link SnapshotWriter} wrote
   * @throws IOException if the bytes can't be read
   */
  void restore(long index, InputStream in) throws IOException;
}
