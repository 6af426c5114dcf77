package io.jacinthquay.wire.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TNonblockingTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * A connection that shows the length of a message to Thrift only once all bytes of the message but
 * the last have arrived. Thrift allocates a message as soon as it knows the length.
 *
 * <p>The last byte stays in the socket: Thrift reads the message only after a further event.
 */
final class FrameSocket extends TNonblockingTransport {
  private static final int LENGTH_BYTES = 4;
  private static final int MIN_BUFFER_BYTES = 1_024;

  private final TNonblockingSocket socket;
  private final FrameBudget budget;
  private ByteBuffer received = ByteBuffer.allocate(LENGTH_BYTES);
  private boolean lengthKnown;

  /** Bytes that arrive before Thrift learns the length, the length included. */
  private int expectedBytes = LENGTH_BYTES;

  private boolean shown;
  private long heldBytes;
  private long movedNanos;
  private boolean calledBefore;
  private boolean closed;

  FrameSocket(TNonblockingSocket socket, FrameBudget budget, int maxFrameBytes)
      throws TTransportException {
    super(new TConfiguration(maxFrameBytes, maxFrameBytes, TConfiguration.DEFAULT_RECURSION_DEPTH));
    this.socket = socket;
    this.budget = budget;
    movedNanos = System.nanoTime();
  }

  /** Returns the bytes that an incomplete message takes. */
  long heldBytes() {
    return heldBytes;
  }

  /** Returns whether a part of a message has arrived, but not all of it. */
  boolean isInMessage() {
    return received.position() > 0 || shown;
  }

  /**
   * Returns whether the connection may be closed from outside Thrift, which fails if it later
   * returns to a connection whose call it runs.
   */
  boolean mayBeClosed() {
    return isInMessage() || !calledBefore;
  }

  /** Returns the time since bytes arrived, in nanoseconds. */
  long pauseNanos(long nowNanos) {
    return nowNanos - movedNanos;
  }

  @Override
  public int read(ByteBuffer target) throws TTransportException {
    if (closed) {
      return -1;
    }
    if (!shown) {
      if (!isInMessage()) {
        release();
      }
      int count = receive();
      if (count < 0 || !shown) {
        return count < 0 ? -1 : 0;
      }
    }
    int count = 0;
    while (target.hasRemaining() && received.hasRemaining()) {
      target.put(received.get());
      count++;
    }
    if (target.hasRemaining() && !received.hasRemaining()) {
      int last = socket.read(target);
      if (last < 0) {
        return -1;
      }
      count += last;
      if (!target.hasRemaining()) {
        endMessage();
      }
    }
    return count;
  }

  /** Reads towards all bytes but the last; returns -1 at the end or where no memory is left. */
  private int receive() throws TTransportException {
    while (received.position() < expectedBytes) {
      if (!received.hasRemaining() && !grow()) {
        return -1;
      }
      int count = socket.read(received);
      if (count <= 0) {
        return count;
      }
      movedNanos = System.nanoTime();
      if (!lengthKnown && !received.hasRemaining()) {
        lengthKnown = true;
        int length = received.getInt(0);
        if (length > getMaxFrameSize() || length <= 0) {
          // Thrift logs this length and closes the connection.
          break;
        }
        expectedBytes = LENGTH_BYTES + length - 1;
      }
    }
    return show() ? 0 : -1;
  }

  /** Lets Thrift read the length, which then allocates the message once more. */
  private boolean show() {
    if (!reserve(expectedBytes)) {
      return false;
    }
    received.flip();
    shown = true;
    return true;
  }

  private boolean grow() {
    int capacity = Math.min(expectedBytes, Math.max(MIN_BUFFER_BYTES, 2 * received.capacity()));
    if (!reserve(capacity - received.capacity())) {
      return false;
    }
    received = ByteBuffer.allocate(capacity).put(received.flip());
    return true;
  }

  private boolean reserve(long bytes) {
    if (!budget.tryReserve(this, bytes, movedNanos)) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /** Keeps the memory of the message reserved until its call is answered. */
  private void endMessage() {
    received = ByteBuffer.allocate(LENGTH_BYTES);
    lengthKnown = false;
    expectedBytes = LENGTH_BYTES;
    shown = false;
    calledBefore = true;
    movedNanos = System.nanoTime();
  }

  private void release() {
    budget.release(heldBytes);
    heldBytes = 0;
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      release();
      budget.closed(this);
      received = ByteBuffer.allocate(0);
      socket.close();
    }
  }

  @Override
  public boolean startConnect() throws IOException {
    return socket.startConnect();
  }

  @Override
  public boolean finishConnect() throws IOException {
    return socket.finishConnect();
  }

  @Override
  public SelectionKey registerSelector(Selector selector, int interests) throws IOException {
    return socket.registerSelector(selector, interests);
  }

  @Override
  public boolean isOpen() {
    return socket.isOpen();
  }

  @Override
  public void open() throws TTransportException {
    socket.open();
  }

  @Override
  public int read(byte[] target, int offset, int length) throws TTransportException {
    return read(ByteBuffer.wrap(target, offset, length));
  }

  @Override
  public int write(ByteBuffer source) throws TTransportException {
    release();
    return socket.write(source);
  }

  @Override
  public void write(byte[] source, int offset, int length) throws TTransportException {
    socket.write(source, offset, length);
  }

  @Override
  public void flush() throws TTransportException {
    socket.flush();
  }
}
