package io.jacinthquay.runtime.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a server may send outside the content of a response, and the memory that
 * the heads and trailers of responses take in sum.
 *
 * <p>The parser above this conduit has no limits of its own: it reads a head until it ends, without
 * returning if bytes arrive fast enough, and skips chunk framing and trailers. Here, reading more
 * than the limit fails in the same way as a broken connection. So does a head or a trailer for
 * which no memory is left: many small lines take a hundred times their bytes as objects. A response
 * whose framing is invalid fails too, as the parser may take it for complete.
 */
public final class BoundedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
  /**
   * Largest response head, interim responses included, in bytes: four times the size that documents
   * allow callers to send.
   */
  public static final int MAX_HEAD_BYTES = 64 * 1024;

  /**
   * Most consecutive bytes that are no content, such as chunk extensions and trailers; the same as
   * for a head.
   */
  public static final int MAX_SKIPPED_BYTES = MAX_HEAD_BYTES;

  /** A head is held by the parser, as the response, and by the response to the caller. */
  private static final int COPIES = 3;

  /**
   * Memory of a usual head of up to 28 lines, in bytes; it may be held while others hold all of the
   * memory.
   */
  private static final int SMALL_HEAD_BYTES = COPIES * 8 * 1024;

  private final AnswerMemory memory;
  private final AnswerMemory.Holding held;
  private final SocketAddress server;
  private final ResponseFraming framing = new ResponseFraming();
  private final HeadCost head = new HeadCost();
  private final HeadCost trailers = new HeadCost();
  private InvalidFramingException invalidBody;
  private long headBytes;
  private Runnable onGivenUp = () -> {};
  private boolean inHead;
  private boolean released = true;
  private long allowedBytes = MAX_HEAD_BYTES;

  private BoundedSource(
      StreamSourceConduit next, AnswerMemory memory, SocketAddress server, Executor thread) {
    super(next);
    this.memory = memory;
    this.held = memory.newHolding(SMALL_HEAD_BYTES, thread, () -> onGivenUp.run());
    this.server = server;
  }

  /** Installs limits on a new connection. */
  static BoundedSource of(StreamConnection connection, AnswerMemory memory) {
    ListenerGuard.install(connection);
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    BoundedSource bounded =
        new BoundedSource(
            channel.getConduit(), memory, connection.getPeerAddress(), connection.getIoThread());
    channel.setConduit(bounded);
    return bounded;
  }

  /**
   * Limits the bytes of a head that is going to be read, and the memory that it takes.
   *
   * @param method the method of the request that it responds to
   * @param listener called on the connection's thread once the response was given up for others; it
   *     must close the connection and call {@link #release}
   */
  public void beginHead(String method, Runnable listener) {
    release();
    framing.begin(method);
    invalidBody = null;
    onGivenUp = listener;
    inHead = true;
    released = false;
    allowedBytes = MAX_HEAD_BYTES;
  }

  /** Limits the bytes that are read until the next content, once the head or content was read. */
  public void allowSkipped() {
    allowedBytes = MAX_SKIPPED_BYTES;
  }

  /** Returns whether no memory is left for the response. */
  public boolean isGivenUp() {
    return held.isGivenUp();
  }

  /** Releases the memory of the response, once nothing refers to it any more. */
  public void release() {
    released = true;
    inHead = false;
    head.reset();
    trailers.reset();
    headBytes = 0;
    onGivenUp = () -> {};
    held.release();
  }

  /** Returns whether an idle connection is open and has received no unsolicited data. */
  public boolean isQuiet() {
    try {
      return next.read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Returns whether the whole response was read. One that ends with its connection is whole only if
   * its request was written: a server that ends the connection before it has read the request may
   * as well have failed.
   *
   * @param requestWritten whether the whole request was written
   */
  public boolean isResponseComplete(boolean requestWritten) {
    return framing.isComplete() && (requestWritten || !framing.endedByConnection());
  }

  /**
   * Returns whether the response ended with its head, as its status has no content. The parser may
   * wait for content nevertheless.
   */
  public boolean endedByStatus() {
    return framing.endedByStatus();
  }

  /** Returns whether another response may follow on the connection. */
  public boolean isReusable() {
    return framing.isComplete() && !framing.hasExcess();
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (invalidBody != null) {
      throw givenUp(invalidBody.getMessage());
    }
    int start = target.position();
    int count = super.read(target);
    deductAllowed(count);
    count = checkFraming(target, start, count);
    if (count > 0 && !holdRead(target, start)) {
      throw givenUp("no memory is left for its head or its trailers");
    }
    return count;
  }

  private boolean holdRead(ByteBuffer read, int start) {
    int end = read.position();
    int headEnd = framing.headEnd();
    int trailersStart = framing.trailersStart();
    if (released || (!inHead && trailersStart < 0)) {
      return true;
    }
    if (inHead) {
      headBytes = COPIES * head.add(read, start, headEnd < 0 ? end : headEnd);
      inHead = headEnd < 0;
    }
    long trailerBytes = trailersStart < 0 ? 0 : trailers.add(read, trailersStart, end);
    return held.tryResize(headBytes + trailerBytes);
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int count) throws IOException {
    for (int i = offset; i < offset + count; i++) {
      if (targets[i].hasRemaining()) {
        return read(targets[i]);
      }
    }
    return 0;
  }

  /** Returns how many bytes may be passed on: a whole head counts even if its body is invalid. */
  private int checkFraming(ByteBuffer read, int start, int count) throws IOException {
    if (count < 0) {
      framing.end();
      return count;
    }
    try {
      framing.read(read, start, start + count);
      return count;
    } catch (InvalidFramingException e) {
      int headEnd = framing.headEnd();
      if (headEnd < 0) {
        throw givenUp(e.getMessage());
      }
      invalidBody = e;
      read.position(headEnd);
      return headEnd - start;
    }
  }

  private void deductAllowed(long count) throws IOException {
    allowedBytes -= Math.max(0, count);
    if (allowedBytes < 0) {
      throw givenUp("it sent more bytes outside the content of a response than allowed");
    }
  }

  /** Counts and logs that the response is given up, and returns the exception to throw. */
  IOException givenUp(String reason) {
    memory.recordGivenUp(server, reason);
    return new IOException("the server's response was given up: " + reason);
  }
}
