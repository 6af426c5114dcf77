package io.jacinthquay.router.adapter.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that an upstream may send outside the content of a response.
 *
 * <p>The parser above this conduit has no limits of its own: it reads a head until it ends, without
 * returning if bytes arrive fast enough, and skips chunk framing and trailers. Here, reading more
 * than the limit fails in the same way as a broken connection.
 */
final class BoundedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
  /**
   * Largest response head, interim responses included, in bytes: four times the size that documents
   * allow callers to send.
   */
  static final int MAX_HEAD_BYTES = 64 * 1024;

  /**
   * Most consecutive bytes that are no content, such as chunk extensions and trailers; the same as
   * for a head.
   */
  static final int MAX_SKIPPED_BYTES = MAX_HEAD_BYTES;

  private long allowedBytes = MAX_HEAD_BYTES;

  private BoundedSource(StreamSourceConduit next) {
    super(next);
  }

  /** Installs a limit on a new connection. */
  static BoundedSource of(StreamConnection connection) {
    ListenerGuard.install(connection);
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    BoundedSource bounded = new BoundedSource(channel.getConduit());
    channel.setConduit(bounded);
    return bounded;
  }

  /** Sets the number of bytes that may be read from now on. */
  void allow(int bytes) {
    allowedBytes = bytes;
  }

  /** Returns whether an idle connection is open and has received no unsolicited data. */
  boolean isQuiet() {
    try {
      return next.read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    return (int) deductAllowed(super.read(target));
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int count) throws IOException {
    return deductAllowed(super.read(targets, offset, count));
  }

  private long deductAllowed(long count) throws IOException {
    allowedBytes -= Math.max(0, count);
    if (allowedBytes < 0) {
      throw new IOException(
          "the upstream sent more bytes outside the content of a response than allowed");
    }
    return count;
  }
}
