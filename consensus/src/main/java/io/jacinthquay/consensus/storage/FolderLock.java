package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.LogFailure;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** An exclusive lock on a data folder, which keeps a second process from using it. */
final class FolderLock implements AutoCloseable {
  private static final String FILE_NAME = "lock";

  private final FileChannel channel;

  private FolderLock(FileChannel channel) {
    this.channel = channel;
  }

  /**
   * Locks a folder.
   *
   * @throws LogException if another process holds the lock
   */
  static FolderLock acquire(Path folder) throws IOException {
    Path path = folder.resolve(FILE_NAME);
    FileChannel channel =
        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!tryLock(channel)) {
      channel.close();
      String detail = folder + " is in use by another process";
      throw new LogException(LogFailure.of(LogError.STORAGE_LOCKED, detail), null);
    }
    return new FolderLock(channel);
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      FileLock lock = channel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
