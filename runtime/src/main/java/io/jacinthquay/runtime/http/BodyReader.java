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

/** Reads a response body as text and also passes on each chunk as it arrives. */
abstract class BodyReader implements ChannelListener<StreamSourceChannel> {
  /** Maximum size of a body, in bytes. */
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final ByteBufferPool buffers;
  private final Consumer<String> chunkListener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  BodyReader(ByteBufferPool buffers, Consumer<String> chunkListener) {
    this.buffers = buffers;
    this.chunkListener = chunkListener;
  }

  /** Called with the whole body. */
  abstract void done(String text);

  /** Called if reading the body failed. */
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
      append(buffer.flip());
      buffer.clear();
      count = channel.read(buffer);
    }
    if (count < 0) {
      done(body.toString(StandardCharsets.UTF_8));
    } else {
      channel.resumeReads();
    }
  }

  private void append(ByteBuffer buffer) throws IOException {
    if (body.size() + buffer.remaining() > MAX_BODY_BYTES) {
      throw new IOException("the response body exceeds " + MAX_BODY_BYTES + " bytes");
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    body.writeBytes(bytes);
    chunkListener.accept(new String(bytes, StandardCharsets.UTF_8));
  }
}
