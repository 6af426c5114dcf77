package io.jacinthquay.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/** A small checksummed file that is replaced as a whole. */
final class AtomicFile {
  private static final String TEMP_SUFFIX = ".tmp";

  private final Path path;

  AtomicFile(Path path) {
    this.path = path;
  }

  boolean exists() {
    return Files.exists(path);
  }

  /** Replaces the content; durable on return. */
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

  /** Reads the content, refusing it if the checksum doesn't match. */
  byte[] read() throws IOException {
    byte[] all = Files.readAllBytes(path);
    if (all.length < Integer.BYTES) {
      throw Corruption.of(path, "file is too short");
    }
    byte[] content = java.util.Arrays.copyOf(all, all.length - Integer.BYTES);
    if (ByteBuffer.wrap(all).getInt(content.length) != checksum(content)) {
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

  /** Renames a synced file into place and syncs the folder. */
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
