package io.jacinthquay.control.service;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The data folder of a control VM, which can be erased when its replica was removed. A marker makes
 * sure that an interrupted erasure is finished before the rest of the data is used.
 */
public final class DataFolder {
  private static final String MARKER = "erasing";

  private final Path folder;

  /** Returns the data folder at a path, which need not exist. */
  public DataFolder(Path folder) {
    this.folder = folder;
  }

  /**
   * Deletes everything in the folder.
   *
   * @throws IOException if a file can't be deleted; {@link #finishErasure} deletes the rest
   */
  public void erase() throws IOException {
    Files.write(folder.resolve(MARKER), new byte[0]);
    finishErasure();
  }

  /**
   * Finishes an erasure that was interrupted, if there is one.
   *
   * @throws IOException if a file can't be deleted
   */
  public void finishErasure() throws IOException {
    Path marker = folder.resolve(MARKER);
    if (!Files.exists(marker)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> paths = files.sorted(Comparator.reverseOrder()).toList();
      for (Path path : paths) {
        if (!path.equals(folder) && !path.equals(marker)) {
          Files.delete(path);
        }
      }
    }
    Files.delete(marker);
  }
}
