package io.jacinthquay.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/** A small file with a checksum whose content is replaced atomically. */
final class AtomicFile {
  private static final String TEMP_SUFFIX = ".tmp";

  private final Path path;

  AtomicFile(Path path) {
    this.path = path;
  }

  boolean exists() {
    return Files.exists(path);
  }

  /** Replaces the content durably; a crash leaves either the old or the new content. */
  void write(byte[] content) throws IOException {
    Path temp = path.resolveSibling(path.getFileName() + TEMP_SUFFIX);
    ByteBuffer buffer = ByteBuffer.allocate(content.length + Integer.BYTES);
    buffer.put(content).putInt(checksum(content)).flip();
    try (FileChannel channel =
        FileChannel.open(
            temp,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      writeFully(channel, buffer);
      channel.force(true);
    }
    publish(temp, path);
  }

  /**
   * Reads the content.
   *
   * @throws io.jacinthquay.consensus.LogException if the file is too short or its checksum doesn't
   *     match
   */
  byte[] read() throws IOException {
    byte[] fileBytes = Files.readAllBytes(path);
    if (fileBytes.length < Integer.BYTES) {
      throw Corruption.of(path, "file is too short");
    }
    byte[] content = java.util.Arrays.copyOf(fileBytes, fileBytes.length - Integer.BYTES);
    if (ByteBuffer.wrap(fileBytes).getInt(content.length) != checksum(content)) {
      throw Corruption.of(path, "checksum mismatch");
    }
    return content;
  }

  static int checksum(byte[] content) {
    CRC32C crc = new CRC32C();
    crc.update(content);
    return (int) crc.getValue();
  }

  static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
  }

  /** Atomically renames a synced file to its target and syncs the folder. */
  static void publish(Path temp, Path target) throws IOException {
    Files.move(temp, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    syncFolder(target.getParent());
  }

  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
