package io.jacinthquay.consensus;

import java.io.IOException;
import java.io.OutputStream;

/** Writes a captured state. */
@FunctionalInterface
public interface SnapshotWriter {
  /**
   * Writes the state.
   *
   * @param out where to write; the caller closes it
   * @throws IOException if writing fails
   */
  void writeTo(OutputStream out) throws IOException;
}
