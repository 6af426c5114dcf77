package io.jacinthquay.wire.transport;

import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * Frames of a bounded size, whose texts and binaries are no longer than the rest of their frame.
 *
 * <p>Thrift allocates a text by the length that it states and checks that length against its
 * largest message of 100 MB only, so a frame of a few bytes could take all of the heap.
 */
final class BoundedFrames extends TFramedTransport {
  BoundedFrames(TTransport transport, int maxBytes) throws TTransportException {
    super(transport, maxBytes);
  }

  /** Creates transports for the connections of a server. */
  static final class Factory extends TTransportFactory {
    private final int maxBytes;

    Factory(int maxBytes) {
      this.maxBytes = maxBytes;
    }

    @Override
    public TTransport getTransport(TTransport base) throws TTransportException {
      return new BoundedFrames(base, maxBytes);
    }
  }

  @Override
  public void checkReadBytesAvailable(long count) throws TTransportException {
    super.checkReadBytesAvailable(count);
    if (count > getBytesRemainingInBuffer()) {
      throw new TTransportException(
          TTransportException.END_OF_FILE,
          "a value states " + count + " bytes in a frame with fewer left");
    }
  }
}
