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
 * A stored watermark of how far the log has been synced. It distinguishes a torn tail, which was
 * never acknowledged, from damage to synced data. After a power failure the watermark may be lower
 * than the synced position, but never higher.
 */
final class SyncWatermark implements AutoCloseable {
  /**
   * A synced position: everything before the offset in the segment was synced.
   *
   * @param segment the first index of the segment
   * @param offset the offset in bytes
   */
  record Position(long segment, long offset) {}

  private static final int CONTENT_BYTES = 2 * Long.BYTES;

  private final FileChannel channel;

  private SyncWatermark(FileChannel channel) {
    this.channel = channel;
  }

  static SyncWatermark open(Path path) throws IOException {
    return new SyncWatermark(
        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE));
  }

  /** Returns the stored watermark, or nothing if it is missing or damaged. */
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

  /** Writes the watermark without syncing it. */
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

  /** Writes and syncs the watermark, which is required before the log is truncated. */
  void writeDurably(Position position) throws IOException {
    write(position);
    channel.force(false);
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
