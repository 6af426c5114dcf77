package io.jacinthquay.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;

/**
 * Remembers up to where the log was synced, to tell a torn tail, which nobody was promised, from
 * damage to synced data. The mark may lag behind after a power failure, never run ahead.
 */
final class SyncMark implements AutoCloseable {
  /** A place in the log: everything before the offset of the segment was synced. */
  record Position(long segment, long offset) {}

  private static final int CONTENT_BYTES = 2 * Long.BYTES;

  private final FileChannel channel;

  private SyncMark(FileChannel channel) {
    this.channel = channel;
  }

  static SyncMark open(Path path) throws IOException {
    return new SyncMark(
        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE));
  }

  /** Reads the mark; one that is missing or damaged tells nothing. */
  static Optional<Position> read(Path path) throws IOException {
    if (!Files.exists(path)) {
      return Optional.empty();
    }
    byte[] bytes = Files.readAllBytes(path);
    if (bytes.length != CONTENT_BYTES + Integer.BYTES) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    boolean intact =
        buffer.getInt(CONTENT_BYTES) == AtomicFile.checksum(Arrays.copyOf(bytes, CONTENT_BYTES));
    return intact
        ? Optional.of(new Position(buffer.getLong(0), buffer.getLong(Long.BYTES)))
        : Optional.empty();
  }

  /** Moves the mark without syncing it. */
  void write(Position position) throws IOException {
    byte[] content =
        ByteBuffer.allocate(CONTENT_BYTES)
            .putLong(position.segment())
            .putLong(position.offset())
            .array();
    ByteBuffer buffer = ByteBuffer.allocate(CONTENT_BYTES + Integer.BYTES);
    buffer.put(content).putInt(AtomicFile.checksum(content)).flip();
    while (buffer.hasRemaining()) {
      channel.write(buffer, buffer.position());
    }
  }

  /** Moves the mark durably, as is needed before the log is cut. */
  void writeDurably(Position position) throws IOException {
    write(position);
    channel.force(false);
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
