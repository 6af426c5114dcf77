package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.SnapshotWriter;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import java.util.zip.CheckedInputStream;
import java.util.zip.CheckedOutputStream;

/**
 * The snapshot files of a data folder. Each file consists of a magic number, the index, term and
 * membership that it covers, the state, and a CRC-32C of the preceding bytes. A file is renamed to
 * its final name only after it is synced, so a file with a final name that fails its checksum is
 * damaged.
 */
final class SnapshotFiles {
  private static final String SUFFIX = ".snapshot";
  private static final String OWN_TEMP = "own-snapshot.tmp";
  private static final String RECEIVED_TEMP = "received-snapshot.tmp";
  private static final long MAGIC = 0x4a51_534e_4150_0a01L;
  private static final int RETAINED_SNAPSHOTS = 2;
  private static final int BUFFER_BYTES = 1 << 16;

  private final Path folder;

  SnapshotFiles(Path folder) {
    this.folder = folder;
  }

  private Path path(SnapshotMeta meta) {
    return folder.resolve(String.format("%020d-%020d%s", meta.index(), meta.term(), SUFFIX));
  }

  private List<Path> paths() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
    }
  }

  /**
   * Deletes temporary files, verifies the checksum of the latest snapshot and returns what it
   * covers.
   *
   * @throws io.jacinthquay.consensus.LogException if the snapshot is damaged
   */
  SnapshotMeta latest() throws IOException {
    Files.deleteIfExists(folder.resolve(OWN_TEMP));
    Files.deleteIfExists(folder.resolve(RECEIVED_TEMP));
    List<Path> paths = paths();
    if (paths.isEmpty()) {
      return SnapshotMeta.NONE;
    }
    Path newest = paths.get(paths.size() - 1);
    if (!isIntact(newest)) {
      throw Corruption.of(newest, "snapshot checksum mismatch");
    }
    try (DataInputStream in = open(newest)) {
      return readMeta(in);
    }
  }

  /** Writes a snapshot; durable on return. */
  void save(SnapshotMeta meta, SnapshotWriter writer) throws IOException {
    Path temp = folder.resolve(OWN_TEMP);
    try (FileChannel channel =
        FileChannel.open(
            temp,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      OutputStream file = Channels.newOutputStream(channel);
      CheckedOutputStream checked =
          new CheckedOutputStream(new BufferedOutputStream(file, BUFFER_BYTES), new CRC32C());
      DataOutputStream out = new DataOutputStream(checked);
      out.writeLong(MAGIC);
      out.writeLong(meta.index());
      out.writeLong(meta.term());
      Codec.write(out, meta.membership());
      writer.writeTo(out);
      out.flush();
      out.writeInt((int) checked.getChecksum().getValue());
      out.flush();
      channel.force(true);
    }
    publish(temp, meta);
  }

  private synchronized void publish(Path temp, SnapshotMeta meta) throws IOException {
    AtomicFile.publish(temp, path(meta));
    List<Path> paths = paths();
    for (Path obsolete : paths.subList(0, Math.max(0, paths.size() - RETAINED_SNAPSHOTS))) {
      Files.deleteIfExists(obsolete);
    }
  }

  /**
   * Stores a chunk. After the last one the file is verified and renamed to its final name.
   *
   * @return false if the snapshot was complete but damaged, and was deleted
   */
  boolean receive(SnapshotWrite write) throws IOException {
    Path temp = folder.resolve(RECEIVED_TEMP);
    try (FileChannel channel =
        FileChannel.open(temp, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      channel.truncate(write.offset());
      channel.position(write.offset());
      AtomicFile.writeFully(channel, ByteBuffer.wrap(write.data()));
      if (!write.last()) {
        return true;
      }
      channel.force(true);
    }
    if (!isIntact(temp) || !hasMeta(temp, write.meta())) {
      Files.delete(temp);
      return false;
    }
    publish(temp, write.meta());
    return true;
  }

  private static boolean hasMeta(Path file, SnapshotMeta meta) throws IOException {
    try (DataInputStream in = open(file)) {
      return readMeta(in).equals(meta);
    }
  }

  LogStorage.Chunk read(SnapshotMeta meta, long offset, int maxBytes) throws IOException {
    try (FileChannel channel = FileChannel.open(path(meta), StandardOpenOption.READ)) {
      long remaining = Math.max(0, channel.size() - offset);
      ByteBuffer buffer = ByteBuffer.allocate((int) Math.min(maxBytes, remaining));
      channel.position(offset);
      while (buffer.hasRemaining() && channel.read(buffer) >= 0) {
        continue;
      }
      return new LogStorage.Chunk(buffer.array(), remaining <= maxBytes);
    }
  }

  /** Opens the state machine's state in a snapshot. */
  InputStream openState(SnapshotMeta meta) throws IOException {
    DataInputStream in = open(path(meta));
    readMeta(in);
    return new TrailerlessInputStream(in, Integer.BYTES);
  }

  private static DataInputStream open(Path file) throws IOException {
    return new DataInputStream(new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES));
  }

  private static SnapshotMeta readMeta(DataInputStream in) throws IOException {
    if (in.readLong() != MAGIC) {
      throw new IOException("not a snapshot file");
    }
    return new SnapshotMeta(in.readLong(), in.readLong(), Codec.readMembership(in));
  }

  private static boolean isIntact(Path file) throws IOException {
    long contentBytes = Files.size(file) - Integer.BYTES;
    if (contentBytes < Long.BYTES) {
      return false;
    }
    CRC32C crc = new CRC32C();
    try (DataInputStream in =
        new DataInputStream(
            new CheckedInputStream(
                new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES), crc))) {
      in.skipNBytes(contentBytes);
      int expected = (int) crc.getValue();
      return in.readInt() == expected;
    }
  }
}
