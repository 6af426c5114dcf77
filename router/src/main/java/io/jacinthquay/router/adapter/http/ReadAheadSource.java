package io.jacinthquay.router.adapter.http;

import io.jacinthquay.runtime.http.BoundedSource;
import io.jacinthquay.runtime.http.HeadCost;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads ahead while the server doesn't read, so that a disconnect is noticed during a response.
 *
 * <p>The server does not read from a connection between the end of a request and the end of its
 * response. Meanwhile this conduit reads by itself and buffers the bytes for the next read, as far
 * as {@link ReadAhead} allows. If the caller sends more than that, a disconnect behind those bytes
 * goes unnoticed until the response has ended.
 */
final class ReadAheadSource extends AbstractSourceConduit<StreamSourceConduit>
    implements StreamSourceConduit {
  /** Most consecutive bytes that are no content, the same as for responses of upstreams. */
  static final int MAX_SKIPPED_BYTES = BoundedSource.MAX_SKIPPED_BYTES;

  /**
   * Most bytes of a head that are read before other connections get a turn: as many as may be
   * buffered again when memory is short, as later requests may have come with it.
   */
  private static final int HEAD_BYTES_PER_TURN = ReadAhead.SMALL_BYTES;

  /**
   * Most bytes of a head that are taken at once of what was read ahead. Most heads are smaller, and
   * what belongs to later requests is copied back for each request.
   */
  private static final int HEAD_BYTES_PER_TAKE = 1024;

  /** Most requests that begin before other connections get a turn. */
  private static final int REQUESTS_PER_TURN = 8;

  /** Most bytes of a body that are read before other connections get a turn. */
  private static final int BODY_BYTES_PER_TURN = 64 * 1024;

  /** The same for a body whose bytes cost more time, as they come in many small chunks. */
  private static final int COSTLY_BYTES_PER_TURN = 2 * 1024;

  private final Runnable onEnd;
  private final ReadAhead ahead;
  private final TurnQueue turns;
  private boolean turnEnded;
  private final Transfer transfer = new Transfer();
  private int maxTurnBytes = BODY_BYTES_PER_TURN;
  private long allowedBytes = Long.MAX_VALUE;
  private ReadReadyHandler readerHandler;
  private boolean readsResumed;
  private boolean ended;
  private boolean pastBoundary;
  private LongConsumer onHeadCost = bytes -> {};
  private boolean inRequest;
  private final HeadCost headCost = new HeadCost();
  private final RequestChunks chunks = new RequestChunks();
  private int turnBytes;
  private boolean inTurn;
  private boolean awaitsTurn;

  /**
   * Wraps a conduit.
   *
   * @param ahead buffers the bytes that are read ahead
   * @param turns shares the I/O thread among its connections
   * @param onEnd called if the connection ends while reading ahead
   */
  ReadAheadSource(StreamSourceConduit next, ReadAhead ahead, TurnQueue turns, Runnable onEnd) {
    super(next);
    this.ahead = ahead;
    this.turns = turns;
    this.onEnd = onEnd;
    next.setReadReadyHandler(new ReadyHandler());
  }

  /** Returns the source of the connection of an exchange; empty for one that isn't wrapped. */
  private static Optional<ReadAheadSource> of(HttpServerExchange exchange) {
    return exchange.getConnection() instanceof AbstractServerConnection connection
            && connection.getOriginalSourceConduit() instanceof ReadAheadSource source
        ? Optional.of(source)
        : Optional.empty();
  }

  /**
   * Limits the bytes that are read until the end of the request, or until the next call.
   *
   * <p>The parser itself has no limit on the chunk extensions that it skips and the trailers that
   * it keeps.
   */
  static void allow(HttpServerExchange exchange, long bytes) {
    of(exchange).ifPresent(source -> source.allowedBytes = bytes);
  }

  /** Returns the transfer of the connection of an exchange. */
  static Transfer transfer(HttpServerExchange exchange) {
    return of(exchange).map(source -> source.transfer).orElseGet(Transfer::new);
  }

  /**
   * Gives other connections a turn soon, and more often from now on until the end of the request:
   * what is read costs more time than its number of bytes tells.
   */
  static void shortenTurns(HttpServerExchange exchange) {
    of(exchange).ifPresent(source -> source.maxTurnBytes = COSTLY_BYTES_PER_TURN);
  }

  Transfer transfer() {
    return transfer;
  }

  /** Returns the bytes of memory of what was read ahead. */
  long aheadBytes() {
    return ahead.memoryBytes();
  }

  /** Returns whether the caller ended the connection while a response was awaited. */
  static boolean hasEnded(HttpServerExchange exchange) {
    return of(exchange).filter(source -> source.ended).isPresent();
  }

  /** Returns whether the chunks of a request that were read so far are invalid. */
  static boolean hasInvalidChunks(HttpServerExchange exchange) {
    return of(exchange).filter(source -> source.chunks.isInvalid()).isPresent();
  }

  /** Removes the limit; the parser limits the size of a head. */
  static void allowAll(HttpServerExchange exchange) {
    allow(exchange, Long.MAX_VALUE);
  }

  /** Sets the listener for the memory that the head takes which is being read, in bytes. */
  void setHeadCostListener(LongConsumer listener) {
    onHeadCost = listener;
  }

  /** Records that a head is complete and returns the memory that it takes, in bytes. */
  long beginRequest() {
    inRequest = true;
    return headCost.reset();
  }

  /** Begins to check the chunks of a request whose head is complete. */
  void checkChunks(HttpServerExchange exchange) {
    chunks.begin(exchange);
  }

  /** Records that what is read from now on belongs to the next head. */
  void endRequest() {
    inRequest = false;
    chunks.end();
    maxTurnBytes = BODY_BYTES_PER_TURN;
  }

  /**
   * Takes back bytes that were passed on, to return them by the next reads.
   *
   * @return whether there is memory for them
   */
  boolean takeBack(ByteBuffer unused) {
    int bytes = unused.remaining();
    boolean taken = ahead.addFirst(unused);
    if (taken) {
      chunks.takenBack(bytes);
    }
    return taken;
  }

  /** Records that all bytes passed on so far belong to requests that are complete. */
  void markBoundary() {
    pastBoundary = false;
  }

  /**
   * Returns whether bytes have arrived since the last request that is complete. Reads once itself
   * while no bytes are known; the server gets them by its next read.
   */
  boolean hasReceived() {
    if (!pastBoundary && ahead.isEmpty()) {
      readAhead();
      goOnReading();
    }
    return pastBoundary || !ahead.isEmpty();
  }

  private int deductAllowed(int count) throws IOException {
    allowedBytes -= Math.max(0, count);
    if (allowedBytes < 0) {
      throw new IOException(
          "the caller sent more bytes than allowed outside the content of a request");
    }
    return count;
  }

  private final class ReadyHandler implements ReadReadyHandler {
    @Override
    public void readReady() {
      if (!readsResumed) {
        readAhead();
      } else if (awaitsTurn) {
        next.suspendReads();
      } else {
        takeTurn(1);
      }
    }

    @Override
    public void forceTermination() {
      if (readerHandler != null) {
        readerHandler.forceTermination();
      }
    }

    @Override
    public void terminated() {
      if (readerHandler != null) {
        readerHandler.terminated();
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
    int start = dst.position();
    int count = inRequest ? readTurn(dst, maxTurnBytes) : readHead(dst);
    if (inRequest && count > 0) {
      chunks.read(dst, start, dst.position());
      if (chunks.isInvalid()) {
        // The parser would end the request, or close the connection without an answer.
        dst.position(start);
        return 0;
      }
    }
    pastBoundary |= count > 0;
    return count;
  }

  private int readAny(ByteBuffer dst) throws IOException {
    if (!ahead.isEmpty()) {
      return ahead.take(dst);
    }
    return ended ? -1 : deductAllowed(next.read(dst));
  }

  private int readHead(ByteBuffer dst) throws IOException {
    int start = dst.position();
    int limit = dst.limit();
    if (!ahead.isEmpty()) {
      dst.limit(Math.min(limit, start + HEAD_BYTES_PER_TAKE));
    }
    int count = readTurn(dst, HEAD_BYTES_PER_TURN);
    dst.limit(limit);
    if (count > 0) {
      onHeadCost.accept(headCost.add(dst, start, dst.position()));
    }
    return count;
  }

  /** Reads unless the turn of the connection has ended; the next event begins a new turn. */
  private int readTurn(ByteBuffer dst, int maxBytes) throws IOException {
    int room = Math.min(dst.remaining(), maxBytes - turnBytes);
    if (room <= 0) {
      turnEnded = true;
      return 0;
    }
    int limit = dst.limit();
    dst.limit(dst.position() + room);
    try {
      int count = readAny(dst);
      turnBytes += Math.max(0, count);
      return count;
    } finally {
      dst.limit(limit);
    }
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
    readerHandler = handler;
  }

  @Override
  public void suspendReads() {
    readsResumed = false;
    next.resumeReads();
  }

  @Override
  public void resumeReads() {
    readsResumed = true;
    if (!inTurn) {
      goOnReading();
    }
  }

  /** Makes sure that the server gets what comes next, without an event if it was read ahead. */
  private void goOnReading() {
    if (!readsResumed || awaitsTurn) {
      return;
    }
    if (ahead.isEmpty() && !ended) {
      next.resumeReads();
    } else {
      awaitsTurn = true;
      next.suspendReads();
      turns.add(
          () -> {
            awaitsTurn = false;
            takeTurn(REQUESTS_PER_TURN);
          });
    }
  }

  private void takeTurn(int maxRequests) {
    turnBytes = 0;
    turnEnded = false;
    inTurn = true;
    for (int i = 0; i < maxRequests && readsResumed && !turnEnded; i++) {
      readerHandler.readReady();
      if (ahead.isEmpty()) {
        break;
      }
    }
    inTurn = false;
    goOnReading();
  }

  @Override
  public void wakeupReads() {
    readsResumed = true;
    next.wakeupReads();
  }

  @Override
  public boolean isReadResumed() {
    return readsResumed;
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
