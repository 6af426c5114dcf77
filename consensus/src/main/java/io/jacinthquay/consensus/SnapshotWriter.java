package io.jacinthquay.consensus;

import java.io.IOException;
import java.io.OutputStream;

/** Writes the state that a {@link StateMachine} captured. */
@FunctionalInterface
public interface SnapshotWriter {
  /**
   * Writes the captured state.
   *
   * @param out the stream to write to; the caller closes it
   * @throws IOException if writing fails
   */
  void writeTo(OutputStream out) throws IOException;
}
