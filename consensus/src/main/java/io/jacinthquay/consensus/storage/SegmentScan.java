package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.raft.Entry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Reads a segment file as far as it is valid. */
final class SegmentScan {
  static final String SUFFIX = ".log";
  static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;
  static final int RECORD_HEADER_BYTES = 2 * Integer.BYTES + Long.BYTES;
  static final int SYNCED_OFFSET = 2 * Integer.BYTES;

  private static final long MAGIC = 0x4a51_4c4f_4731_0a00L;
  private static final int SMALLEST_BODY_BYTES = 2 * Long.BYTES + 1;

  private final Path path;
  private final long firstIndex;
  private final long fileBytes;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Long> offsets = new ArrayList<>();
  private boolean headerValid;
  private boolean torn;
  private boolean syncedBeyondDamage;
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

  /** Covers the length, the length of the synced part at the time of writing, and the entry. */
  static int checksum(long synced, byte[] body) {
    CRC32C crc = new CRC32C();
    ByteBuffer header = ByteBuffer.allocate(Integer.BYTES + Long.BYTES);
    crc.update(header.putInt(body.length).putLong(synced).flip());
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
    byte[] body = body(buffer, validBytes);
    while (body.length > 0 && add(Codec.readEntry(body))) {
      validBytes += RECORD_HEADER_BYTES + body.length;
      body = body(buffer, validBytes);
    }
    torn = hasContent(buffer, validBytes);
    syncedBeyondDamage = torn && findsRecordAfter(buffer, validBytes);
  }

  private static boolean hasContent(ByteBuffer buffer, int from) {
    for (int offset = from; offset < buffer.limit(); offset++) {
      if (buffer.get(offset) != 0) {
        return true;
      }
    }
    return false;
  }

  private boolean add(Entry entry) {
    if (entry.index() != firstIndex + entries.size()) {
      return false;
    }
    entries.add(entry);
    offsets.add((long) validBytes);
    return true;
  }

  /** Reads the record body at an offset, or gives an empty one if there is no valid record. */
  private static byte[] body(ByteBuffer buffer, int offset) {
    if (buffer.limit() - offset < RECORD_HEADER_BYTES + SMALLEST_BODY_BYTES) {
      return new byte[0];
    }
    int length = buffer.getInt(offset);
    if (length < SMALLEST_BODY_BYTES || length > buffer.limit() - offset - RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    long synced = buffer.getLong(offset + SYNCED_OFFSET);
    if (synced < HEADER_BYTES || synced > offset) {
      return new byte[0];
    }
    byte[] body = new byte[length];
    buffer.get(offset + RECORD_HEADER_BYTES, body);
    boolean intact = checksum(synced, body) == buffer.getInt(offset + Integer.BYTES);
    return intact ? body : new byte[0];
  }

  /** Looks for a record that was written after the damaged place had been synced. */
  private static boolean findsRecordAfter(ByteBuffer buffer, int damaged) {
    int last = buffer.limit() - RECORD_HEADER_BYTES - SMALLEST_BODY_BYTES;
    for (int offset = damaged + 1; offset <= last; offset++) {
      if (buffer.getLong(offset + SYNCED_OFFSET) > damaged && body(buffer, offset).length > 0) {
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

  /** Tells whether the header is intact. */
  boolean headerValid() {
    return headerValid;
  }

  /** Tells whether the file holds more than a header, as a torn creation can't. */
  boolean isLongerThanHeader() {
    return fileBytes > HEADER_BYTES;
  }

  /** Gives the length of the valid part in bytes. */
  long validBytes() {
    return validBytes;
  }

  /** Tells whether something other than space allocated ahead follows the valid part. */
  boolean isTorn() {
    return torn;
  }

  /** Tells whether a later record proves that the damaged place was synced, so is no torn tail. */
  boolean syncedBeyondDamage() {
    return syncedBeyondDamage;
  }
}
