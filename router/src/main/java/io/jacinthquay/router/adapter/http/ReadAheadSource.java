package io.jacinthquay.router.adapter.http;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads ahead while nobody reads, so that the end of a connection is noticed during an answer.
 *
 * <p>The server does not read from a connection between a request and the end of its answer. This
 * conduit then reads on its own and keeps the bytes for the next reader, as far as {@link
 * ReadAhead} allows; behind more than that the end goes unnoticed until the answer has ended.
 */
final class WatchedSource extends AbstractSourceConduit<StreamSourceConduit>
    implements StreamSourceConduit {
  /** Most bytes in a row that belong to no content, as for the answers of upstreams. */
  static final int MOST_SKIPPED_BYTES = BoundedSource.MOST_SKIPPED_BYTES;

  private final Runnable onEnd;
  private final ReadAhead ahead;
  private long allowed = Long.MAX_VALUE;
  private ReadReadyHandler reader;
  private boolean wanted;
  private boolean ended;

  /**
   * Wraps a conduit.
   *
   * @param ahead keeps what is read while nobody reads
   * @param onEnd called when the connection ends while nobody reads
   */
  WatchedSource(StreamSourceConduit next, ReadAhead ahead, Runnable onEnd) {
    super(next);
    this.ahead = ahead;
    this.onEnd = onEnd;
    next.setReadReadyHandler(new Watch());
  }

  /**
   * Bounds what is read until the request has ended, or until this is called again.
   *
   * <p>The parser skips extensions of chunks and keeps trailers, however many come.
   */
  static void allow(HttpServerExchange exchange, long bytes) {
    if (exchange.getConnection() instanceof AbstractServerConnection connection
        && connection.getOriginalSourceConduit() instanceof WatchedSource source) {
      source.allowed = bytes;
    }
  }

  /** Lifts the bound; a head has a limit of its own. */
  static void allowAll(HttpServerExchange exchange) {
    allow(exchange, Long.MAX_VALUE);
  }

  private int counted(int count) throws IOException {
    allowed -= Math.max(0, count);
    if (allowed < 0) {
      throw new IOException("the caller sends too much that is no content");
    }
    return count;
  }

  private final class Watch implements ReadReadyHandler {
    @Override
    public void readReady() {
      if (wanted) {
        reader.readReady();
      } else {
        readAhead();
      }
    }

    @Override
    public void forceTermination() {
      if (reader != null) {
        reader.forceTermination();
      }
    }

    @Override
    public void terminated() {
      if (reader != null) {
        reader.terminated();
      }
    }
  }

  private void readAhead() {
    ByteBuffer room = ahead.room();
    if (!room.hasRemaining()) {
      next.suspendReads();
      return;
    }
    try {
      int count = next.read(room);
      ahead.add(room.flip());
      if (count < 0) {
        end();
      }
    } catch (IOException e) {
      end();
    }
  }

  private void end() {
    ended = true;
    next.suspendReads();
    onEnd.run();
  }

  @Override
  public int read(ByteBuffer dst) throws IOException {
    if (ahead.isEmpty()) {
      return ended ? -1 : counted(next.read(dst));
    }
    return ahead.take(dst);
  }

  @Override
  public long read(ByteBuffer[] dsts, int offs, int len) throws IOException {
    for (int i = offs; i < offs + len; i++) {
      if (dsts[i].hasRemaining()) {
        return read(dsts[i]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return Conduits.transfer(this, count, throughBuffer, target);
  }

  @Override
  public void setReadReadyHandler(ReadReadyHandler handler) {
    reader = handler;
  }

  @Override
  public void suspendReads() {
    wanted = false;
    next.resumeReads();
  }

  @Override
  public void resumeReads() {
    wanted = true;
    if (!ahead.isEmpty() || ended) {
      next.wakeupReads();
    } else {
      next.resumeReads();
    }
  }

  @Override
  public void wakeupReads() {
    wanted = true;
    next.wakeupReads();
  }

  @Override
  public boolean isReadResumed() {
    return wanted;
  }

  @Override
  public void awaitReadable() throws IOException {
    if (ahead.isEmpty() && !ended) {
      next.awaitReadable();
    }
  }

  @Override
  public void awaitReadable(long time, TimeUnit unit) throws IOException {
    if (ahead.isEmpty() && !ended) {
      next.awaitReadable(time, unit);
    }
  }

  @Override
  public void terminateReads() throws IOException {
    next.terminateReads();
  }

  @Override
  public boolean isReadShutdown() {
    return next.isReadShutdown();
  }

  @Override
  public XnioIoThread getReadThread() {
    return next.getReadThread();
  }

  @Override
  public XnioWorker getWorker() {
    return next.getWorker();
  }
}
