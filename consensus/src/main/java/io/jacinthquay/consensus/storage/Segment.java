package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.raft.Entry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A file of consecutive log entries. The file starts with a header of magic number, first index and
 * checksum. Each record consists of the length of the entry, a CRC-32C, the number of bytes of the
 * file that were synced when the record was written, and the entry. Space is allocated ahead and
 * filled with zeros.
 */
final class Segment implements AutoCloseable {
  private static final int RECORD_HEADER_BYTES = SegmentScan.RECORD_HEADER_BYTES;

  private final Path path;
  private final long firstIndex;
  private final FileChannel channel;
  private final int preallocationBytes;
  private final List<Long> offsets = new ArrayList<>();
  private long size;
  private long syncedBytes;
  private long allocatedBytes;

  private Segment(
      Path path, long firstIndex, FileChannel channel, int preallocationBytes, long size) {
    this.path = path;
    this.firstIndex = firstIndex;
    this.channel = channel;
    this.preallocationBytes = preallocationBytes;
    this.size = size;
    this.syncedBytes = size;
    this.allocatedBytes = size;
  }

  static Path path(Path folder, long firstIndex) {
    return folder.resolve(String.format("%020d%s", firstIndex, SegmentScan.SUFFIX));
  }

  /** Creates an empty segment; durable on return. */
  static Segment create(Path folder, long firstIndex, int preallocationBytes) throws IOException {
    Path path = path(folder, firstIndex);
    FileChannel channel =
        FileChannel.open(
            path,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
    try {
      AtomicFile.writeFully(channel, SegmentScan.header(firstIndex));
      channel.force(true);
      AtomicFile.syncFolder(folder);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    return new Segment(path, firstIndex, channel, preallocationBytes, SegmentScan.HEADER_BYTES);
  }

  /**
   * Opens a scanned segment for appending, truncates a torn tail and makes the records durable.
   *
   * @param syncedOffset everything before this offset is known to be synced
   */
  static Segment open(SegmentScan scan, int preallocationBytes, long syncedOffset)
      throws IOException {
    FileChannel channel = FileChannel.open(scan.path(), StandardOpenOption.WRITE);
    try {
      if (channel.size() > scan.validBytes()) {
        channel.truncate(scan.validBytes());
      }
      rewrite(scan, channel, syncedOffset);
      channel.force(true);
      channel.position(scan.validBytes());
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    Segment segment =
        new Segment(scan.path(), scan.firstIndex(), channel, preallocationBytes, scan.validBytes());
    segment.offsets.addAll(scan.offsets());
    return segment;
  }

  /**
   * Writes what was read after an offset again: after a sync that failed, the system may hold it in
   * memory as if it were written, so that a sync alone would not store it.
   */
  private static void rewrite(SegmentScan scan, FileChannel channel, long syncedOffset)
      throws IOException {
    if (syncedOffset >= scan.validBytes()) {
      return;
    }
    byte[] bytes = Files.readAllBytes(scan.path());
    int start = (int) syncedOffset;
    ByteBuffer tail = ByteBuffer.wrap(bytes, start, (int) scan.validBytes() - start);
    channel.position(start);
    AtomicFile.writeFully(channel, tail);
  }

  long firstIndex() {
    return firstIndex;
  }

  long lastIndex() {
    return firstIndex + offsets.size() - 1;
  }

  long size() {
    return size;
  }

  void append(List<Entry> entries) throws IOException {
    List<byte[]> bodies = new ArrayList<>();
    int bytes = 0;
    for (Entry entry : entries) {
      byte[] body = Codec.encode(out -> Codec.write(out, entry));
      bodies.add(body);
      bytes += RECORD_HEADER_BYTES + body.length;
    }
    ByteBuffer buffer = ByteBuffer.allocate(bytes);
    for (byte[] body : bodies) {
      offsets.add(size + buffer.position());
      buffer.putInt(body.length).putInt(SegmentScan.checksum(syncedBytes, body));
      buffer.putLong(syncedBytes).put(body);
    }
    buffer.flip();
    preallocate(size + bytes);
    writeAt(size, buffer);
    size += bytes;
  }

  private void preallocate(long end) throws IOException {
    if (end > allocatedBytes) {
      long newAllocatedBytes = end + preallocationBytes;
      writeAt(allocatedBytes, ByteBuffer.allocate((int) (newAllocatedBytes - allocatedBytes)));
      allocatedBytes = newAllocatedBytes;
    }
  }

  private void writeAt(long offset, ByteBuffer buffer) throws IOException {
    long position = offset;
    while (buffer.hasRemaining()) {
      position += channel.write(buffer, position);
    }
  }

  /** Returns the offset in bytes at which the record of an index starts. */
  long offset(long index) {
    return index > lastIndex() ? size : offsets.get((int) (index - firstIndex));
  }

  /** Removes the records from an index on; durable on return. */
  void truncateFrom(long index) throws IOException {
    size = offset(index);
    offsets.subList((int) (index - firstIndex), offsets.size()).clear();
    channel.truncate(size);
    channel.force(true);
    syncedBytes = size;
    allocatedBytes = size;
  }

  void sync() throws IOException {
    channel.force(false);
    syncedBytes = size;
  }

  void delete() throws IOException {
    close();
    Files.deleteIfExists(path);
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
