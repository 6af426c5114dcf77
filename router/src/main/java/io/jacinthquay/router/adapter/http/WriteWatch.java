package io.jacinthquay.router.adapter.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** Notes since when a caller takes no more bytes of what is written to it. */
final class WriteWatch extends AbstractStreamSinkConduit<StreamSinkConduit> {
  private boolean blocked;
  private long blockedNanos;

  WriteWatch(StreamSinkConduit next) {
    super(next);
  }

  /** Returns whether the last write could not write all, as the caller reads too slowly. */
  boolean isBlocked() {
    return blocked;
  }

  /** Returns for how long the caller has taken nothing, in milliseconds. */
  long blockedMillis(long nowNanos) {
    return blocked ? TimeUnit.NANOSECONDS.toMillis(nowNanos - blockedNanos) : 0;
  }

  private long written(long count, boolean all) {
    if (all) {
      blocked = false;
    } else if (count > 0 || !blocked) {
      blocked = true;
      blockedNanos = System.nanoTime();
    }
    return count;
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    int count = next.write(source);
    return (int) written(count, !source.hasRemaining());
  }

  @Override
  public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
    long count = next.write(sources, offset, length);
    return written(count, !sources[offset + length - 1].hasRemaining());
  }

  @Override
  public int writeFinal(ByteBuffer source) throws IOException {
    int count = next.writeFinal(source);
    return (int) written(count, !source.hasRemaining());
  }

  @Override
  public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
    long count = next.writeFinal(sources, offset, length);
    return written(count, !sources[offset + length - 1].hasRemaining());
  }

  @Override
  public long transferFrom(FileChannel source, long position, long count) throws IOException {
    return next.transferFrom(source, position, count);
  }
}
