package io.jacinthquay.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/** An open file or folder whose changes are reported to a {@link RecordedDisk}. */
final class RecordedChannel extends FileChannel {
  /** Stands for the folder instead of the number of a file. */
  static final int FOLDER = -1;

  private final FileChannel delegate;
  private final RecordedDisk disk;
  private final int file;

  RecordedChannel(FileChannel delegate, RecordedDisk disk, int file) {
    this.delegate = delegate;
    this.disk = disk;
    this.file = file;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    return delegate.read(target);
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    return delegate.read(targets, offset, length);
  }

  @Override
  public int read(ByteBuffer target, long position) throws IOException {
    return delegate.read(target, position);
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    int written = write(source, delegate.position());
    delegate.position(delegate.position() + written);
    return written;
  }

  @Override
  public long write(ByteBuffer[] sources, int offset, int length) {
    throw new UnsupportedOperationException("gathering write");
  }

  @Override
  public int write(ByteBuffer source, long position) throws IOException {
    byte[] bytes = new byte[source.remaining()];
    source.duplicate().get(bytes);
    disk.written(file, (int) position, bytes);
    return delegate.write(source, position);
  }

  @Override
  public long position() throws IOException {
    return delegate.position();
  }

  @Override
  public FileChannel position(long newPosition) throws IOException {
    delegate.position(newPosition);
    return this;
  }

  @Override
  public long size() throws IOException {
    return delegate.size();
  }

  @Override
  public FileChannel truncate(long size) throws IOException {
    disk.written(file, (int) size, null);
    delegate.truncate(size);
    return this;
  }

  @Override
  public void force(boolean metaData) throws IOException {
    if (file == FOLDER) {
      disk.folderSynced();
    } else {
      disk.synced(file);
    }
  }

  @Override
  public long transferTo(long position, long count, WritableByteChannel target) {
    throw new UnsupportedOperationException("transferTo");
  }

  @Override
  public long transferFrom(ReadableByteChannel source, long position, long count) {
    throw new UnsupportedOperationException("transferFrom");
  }

  @Override
  public MappedByteBuffer map(MapMode mode, long position, long size) {
    throw new UnsupportedOperationException("map");
  }

  @Override
  public FileLock lock(long position, long size, boolean shared) throws IOException {
    return delegate.lock(position, size, shared);
  }

  @Override
  public FileLock tryLock(long position, long size, boolean shared) throws IOException {
    return delegate.tryLock(position, size, shared);
  }

  @Override
  protected void implCloseChannel() throws IOException {
    delegate.close();
  }
}
