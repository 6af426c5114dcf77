package io.jacinthquay.keeper.state;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Reads a stream whose length is not known, and allows a text or a container only if the stream
 * holds the bytes that it states. Thrift allocates memory by the stated size.
 */
final class StoredStreamTransport extends TIOStreamTransport {
  private static final int BUFFER_BYTES = 64 << 10;

  private final InputStream in;

  StoredStreamTransport(InputStream in) throws TTransportException {
    this(new BufferedInputStream(in, BUFFER_BYTES));
  }

  private StoredStreamTransport(BufferedInputStream in) throws TTransportException {
    super(ThriftCodec.limits(), in);
    this.in = in;
  }

  /** Reads ahead; the buffer grows with the bytes that are there. */
  @Override
  public void checkReadBytesAvailable(long bytes) throws TTransportException {
    super.checkReadBytesAvailable(bytes);
    try {
      in.mark(Math.toIntExact(bytes));
      in.skipNBytes(bytes);
      in.reset();
    } catch (EOFException e) {
      throw new TTransportException(
          TTransportException.END_OF_FILE, "fewer than the " + bytes + " bytes that are stated", e);
    } catch (IOException e) {
      throw new TTransportException(TTransportException.UNKNOWN, e);
    }
  }
}
