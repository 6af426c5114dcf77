package io.jacinthquay.consensus.storage;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;

/** An input stream that omits the last bytes, the trailer, of another stream. */
final class TrailerlessInputStream extends FilterInputStream {
  private final int trailerBytes;

  TrailerlessInputStream(InputStream in, int trailerBytes) {
    super(new PushbackInputStream(in, trailerBytes + 1));
    this.trailerBytes = trailerBytes;
  }

  @Override
  public int read() throws IOException {
    byte[] bytesRead = in.readNBytes(trailerBytes + 1);
    if (bytesRead.length <= trailerBytes) {
      unread(bytesRead, 0, bytesRead.length);
      return -1;
    }
    unread(bytesRead, 1, trailerBytes);
    return bytesRead[0] & 0xff;
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    if (length == 0) {
      return 0;
    }
    byte[] bytesRead = in.readNBytes(length + trailerBytes);
    int count = Math.max(0, bytesRead.length - trailerBytes);
    System.arraycopy(bytesRead, 0, target, offset, count);
    unread(bytesRead, count, bytesRead.length - count);
    return count == 0 ? -1 : count;
  }

  private void unread(byte[] bytes, int offset, int length) throws IOException {
    ((PushbackInputStream) in).unread(bytes, offset, length);
  }

  @Override
  public boolean markSupported() {
    return false;
  }
}
