package io.jacinthquay.runtime.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/** Reads one body as text, which is also heard piece by piece. */
abstract class BodyReader implements ChannelListener<StreamSourceChannel> {
  /** Largest body in bytes. */
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final ByteBufferPool buffers;
  private final Consumer<String> pieces;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  BodyReader(ByteBufferPool buffers, Consumer<String> pieces) {
    this.buffers = buffers;
    this.pieces = pieces;
  }

  /** Hears the whole body. */
  abstract void done(String text);

  /** Hears that the rest of the body will not come. */
  abstract void failed(IOException e);

  void setup(StreamSourceChannel channel) {
    channel.getReadSetter().set(this);
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSourceChannel channel) {
    try (PooledByteBuffer pooled = buffers.allocate()) {
      read(channel, pooled.getBuffer());
    } catch (IOException e) {
      failed(e);
    }
  }

  private void read(StreamSourceChannel channel, ByteBuffer buffer) throws IOException {
    int count = channel.read(buffer);
    while (count > 0) {
      take(buffer.flip());
      buffer.clear();
      count = channel.read(buffer);
    }
    if (count < 0) {
      done(body.toString(StandardCharsets.UTF_8));
    } else {
      channel.resumeReads();
    }
  }

  private void take(ByteBuffer buffer) throws IOException {
    if (body.size() + buffer.remaining() > MAX_BODY_BYTES) {
      throw new IOException("the body has more than " + MAX_BODY_BYTES + " bytes");
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    body.writeBytes(bytes);
    pieces.accept(new String(bytes, StandardCharsets.UTF_8));
  }
}
