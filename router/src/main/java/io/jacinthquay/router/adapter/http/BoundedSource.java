package io.jacinthquay.router.adapter.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds what an upstream may send without getting on with its answer.
 *
 * <p>The parser above reads a head until it ends, in one turn if the bytes come fast enough, and
 * skips the framing of chunks and trailers; it knows no limit of its own. Reading more than is
 * allowed fails here, as if the connection had broken.
 */
final class BoundedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
  /**
   * Largest head with its interim answers, in bytes: four times what documents let callers send.
   */
  static final int MOST_HEAD_BYTES = 64 * 1024;

  /** Most bytes in a row that belong to no content, as chunk extensions and trailers; as a head. */
  static final int MOST_SKIPPED_BYTES = MOST_HEAD_BYTES;

  private long allowed = MOST_HEAD_BYTES;

  private BoundedSource(StreamSourceConduit next) {
    super(next);
  }

  /** Bounds what is read from a new connection. */
  static BoundedSource of(StreamConnection connection) {
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    BoundedSource bounded = new BoundedSource(channel.getConduit());
    channel.setConduit(bounded);
    return bounded;
  }

  /** Allows a number of bytes from now on. */
  void allow(int bytes) {
    allowed = bytes;
  }

  /** Returns whether an idle connection is open and nothing came on it that nobody asked for. */
  boolean isQuiet() {
    try {
      return next.read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    return (int) counted(super.read(target));
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int count) throws IOException {
    return counted(super.read(targets, offset, count));
  }

  private long counted(long count) throws IOException {
    allowed -= Math.max(0, count);
    if (allowed < 0) {
      throw new IOException("the upstream sends too much that is no answer");
    }
    return count;
  }
}
