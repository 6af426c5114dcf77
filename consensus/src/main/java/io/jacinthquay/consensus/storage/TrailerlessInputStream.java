package io.jacinthquay.consensus.storage;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;

/** Hides the last bytes of a stream. */
final class TrailerlessInputStream extends FilterInputStream {
  private final int trailerBytes;

  TrailerlessInputStream(InputStream in, int trailerBytes) {
    super(new PushbackInputStream(in, trailerBytes + 1));
    this.trailerBytes = trailerBytes;
  }

  @Override
  public int read() throws IOException {
    byte[] ahead = in.readNBytes(trailerBytes + 1);
    if (ahead.length <= trailerBytes) {
      unread(ahead, 0, ahead.length);
      return -1;
    }
    unread(ahead, 1, trailerBytes);
    return ahead[0] & 0xff;
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    if (length == 0) {
      return 0;
    }
    byte[] ahead = in.readNBytes(length + trailerBytes);
    int count = Math.max(0, ahead.length - trailerBytes);
    System.arraycopy(ahead, 0, target, offset, count);
    unread(ahead, count, ahead.length - count);
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
