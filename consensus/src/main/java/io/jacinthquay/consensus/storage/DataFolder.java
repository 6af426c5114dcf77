package io.jacinthquay.consensus.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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
   * Deletes everything in the folder. The marker is durable before anything is deleted, and stays
   * until all removals are: what a loss of power leaves is erased before it is used.
   *
   * @throws IOException if a file can't be deleted; {@link #finishErasure} deletes the rest
   */
  public void erase() throws IOException {
    Path marker = folder.resolve(MARKER);
    try (FileChannel channel =
        FileChannel.open(marker, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    AtomicFile.syncFolder(folder);
    deleteAllExcept(marker);
    AtomicFile.syncFolder(folder);
    Files.delete(marker);
    AtomicFile.syncFolder(folder);
  }

  private void deleteAllExcept(Path marker) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> paths = files.sorted(Comparator.reverseOrder()).toList();
      for (Path path : paths) {
        if (!path.equals(folder) && !path.equals(marker)) {
          Files.delete(path);
        }
      }
    }
  }

  /**
   * Finishes an erasure that was interrupted, if there is one.
   *
   * @throws IOException if a file can't be deleted
   */
  public void finishErasure() throws IOException {
    if (Files.exists(folder.resolve(MARKER))) {
      erase();
    }
  }
}
