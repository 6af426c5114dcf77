package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.raft.Entry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** The valid part of a segment file, and whether the data after it may have been synced. */
final class SegmentScan {
  static final String SUFFIX = ".log";
  static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;
  static final int RECORD_HEADER_BYTES = 2 * Integer.BYTES + Long.BYTES;
  static final int SYNCED_BYTES_OFFSET = 2 * Integer.BYTES;

  private static final long MAGIC = 0x4a51_4c4f_4731_0a00L;
  private static final int MIN_BODY_BYTES = 2 * Long.BYTES + 1;

  private final Path path;
  private final long firstIndex;
  private final long fileBytes;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Long> offsets = new ArrayList<>();
  private boolean headerValid;
  private boolean tornTail;
  private boolean syncedRecordAfterDamage;
  private int validBytes;

  private SegmentScan(Path path, long firstIndex, long fileBytes) {
    this.path = path;
    this.firstIndex = firstIndex;
    this.fileBytes = fileBytes;
  }

  static SegmentScan of(Path path) throws IOException {
    String name = path.getFileName().toString();
    long firstIndex = Long.parseLong(name.substring(0, name.length() - SUFFIX.length()));
    byte[] bytes = Files.readAllBytes(path);
    SegmentScan scan = new SegmentScan(path, firstIndex, bytes.length);
    scan.read(ByteBuffer.wrap(bytes));
    return scan;
  }

  static ByteBuffer header(long firstIndex) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES);
    buffer.putLong(MAGIC).putLong(firstIndex);
    buffer.putInt(
        AtomicFile.checksum(
            ByteBuffer.allocate(2 * Long.BYTES).putLong(MAGIC).putLong(firstIndex).array()));
    return buffer.flip();
  }

  /** Returns the CRC-32C of the entry length, the number of synced bytes and the entry. */
  static int checksum(long syncedBytes, byte[] body) {
    CRC32C crc = new CRC32C();
    ByteBuffer header = ByteBuffer.allocate(Integer.BYTES + Long.BYTES);
    crc.update(header.putInt(body.length).putLong(syncedBytes).flip());
    crc.update(body);
    return (int) crc.getValue();
  }

  private void read(ByteBuffer buffer) throws IOException {
    headerValid =
        buffer.limit() >= HEADER_BYTES && buffer.slice(0, HEADER_BYTES).equals(header(firstIndex));
    if (!headerValid) {
      return;
    }
    validBytes = HEADER_BYTES;
    byte[] body = readBody(buffer, validBytes);
    while (body.length > 0 && addIfNext(Codec.readEntry(body))) {
      validBytes += RECORD_HEADER_BYTES + body.length;
      body = readBody(buffer, validBytes);
    }
    tornTail = hasNonZeroByte(buffer, validBytes);
    syncedRecordAfterDamage = tornTail && hasSyncedRecordAfter(buffer, validBytes);
  }

  private static boolean hasNonZeroByte(ByteBuffer buffer, int from) {
    for (int offset = from; offset < buffer.limit(); offset++) {
      if (buffer.get(offset) != 0) {
        return true;
      }
    }
    return false;
  }

  /** Adds an entry if it has the next index. */
  private boolean addIfNext(Entry entry) {
    if (entry.index() != firstIndex + entries.size()) {
      return false;
    }
    entries.add(entry);
    offsets.add((long) validBytes);
    return true;
  }

  /** Returns the record body at an offset, or an empty array if there is no valid record. */
  private static byte[] readBody(ByteBuffer buffer, int offset) {
    if (buffer.limit() - offset < RECORD_HEADER_BYTES + MIN_BODY_BYTES) {
      return new byte[0];
    }
    int length = buffer.getInt(offset);
    if (length < MIN_BODY_BYTES || length > buffer.limit() - offset - RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    long syncedBytes = buffer.getLong(offset + SYNCED_BYTES_OFFSET);
    if (syncedBytes < HEADER_BYTES || syncedBytes > offset) {
      return new byte[0];
    }
    byte[] body = new byte[length];
    buffer.get(offset + RECORD_HEADER_BYTES, body);
    boolean valid = checksum(syncedBytes, body) == buffer.getInt(offset + Integer.BYTES);
    return valid ? body : new byte[0];
  }

  /** Returns whether a later record was written after the damaged offset had been synced. */
  private static boolean hasSyncedRecordAfter(ByteBuffer buffer, int damaged) {
    int last = buffer.limit() - RECORD_HEADER_BYTES - MIN_BODY_BYTES;
    for (int offset = damaged + 1; offset <= last; offset++) {
      if (buffer.getLong(offset + SYNCED_BYTES_OFFSET) > damaged
          && readBody(buffer, offset).length > 0) {
        return true;
      }
    }
    return false;
  }

  Path path() {
    return path;
  }

  long firstIndex() {
    return firstIndex;
  }

  long lastIndex() {
    return firstIndex + entries.size() - 1;
  }

  List<Entry> entries() {
    return entries;
  }

  List<Long> offsets() {
    return offsets;
  }

  /** Returns whether the header is intact. */
  boolean headerValid() {
    return headerValid;
  }

  /** Returns whether the file is longer than a header, which rules out an incomplete creation. */
  boolean isLongerThanHeader() {
    return fileBytes > HEADER_BYTES;
  }

  /** Returns the length of the valid part in bytes. */
  long validBytes() {
    return validBytes;
  }

  /** Returns whether bytes other than zeros, the preallocated space, follow the valid part. */
  boolean hasTornTail() {
    return tornTail;
  }

  /** Returns whether a later record proves that the damaged data was synced: no torn tail then. */
  boolean hasSyncedRecordAfterDamage() {
    return syncedRecordAfterDamage;
  }
}
