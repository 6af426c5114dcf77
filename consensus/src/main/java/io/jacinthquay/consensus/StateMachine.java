package io.jacinthquay.consensus;

import java.io.IOException;
import java.io.InputStream;

/**
 * The deterministic state behind the log. All calls come from one thread, in log order. The answer
 * may depend on nothing but earlier commands, so times and random values travel inside commands.
 */
public interface StateMachine {
  /**
   * Applies a committed command.
   *
   * @param index the log index, higher than in the call before
   * @param command the bytes that were proposed
   * @return the result for the proposer
   */
  byte[] apply(long index, byte[] command);

  /**
   * Captures the present state. The capture should be quick; the writer runs later on another
   * thread while further commands are applied, so it must hold an immutable view.
   *
   * @return writes the captured state
   */
  SnapshotWriter snapshot();

  /**
   * Replaces the whole state by a snapshot.
   *
   * @param index the log index that the snapshot covers
   * @param in the bytes that a {@link SnapshotWriter} wrote
   * @throws IOException if the bytes can't be read
   */
  void restore(long index, InputStream in) throws IOException;
}
