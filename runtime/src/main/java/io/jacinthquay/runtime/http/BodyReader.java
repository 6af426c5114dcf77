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
  /** Maximum size of a body, in bytes; a list of 10,000 VMs is smaller. */
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  /** Memory of a byte of a body: the array, its double while it grows, and the text. */
  private static final int MEMORY_PER_BYTE = 4;

  /** Memory of a usual body, in bytes; it may be held while others hold all of the memory. */
  static final int SMALL_BODY_BYTES = MEMORY_PER_BYTE * 8 * 1024;

  /** Consecutive reads before other calls get a turn. */
  private static final int READS_PER_TURN = 8;

  private final ByteBufferPool buffers;
  private final Consumer<String> chunkListener;
  private final BoundedSource source;
  private final AnswerMemory.Holding memory;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean released;

  BodyReader(
      ByteBufferPool buffers,
      Consumer<String> chunkListener,
      BoundedSource source,
      AnswerMemory.Holding memory) {
    this.buffers = buffers;
    this.chunkListener = chunkListener;
    this.source = source;
    this.memory = memory;
  }

  /** Drops the body and releases its memory; nothing is read after that. */
  void release() {
    released = true;
    body = new ByteArrayOutputStream();
    memory.release();
  }

  /** Returns whether the whole request was written. */
  abstract boolean isRequestWritten();

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
    for (int turn = 0; turn < READS_PER_TURN && !released; turn++) {
      int count = source.endedByStatus() ? -1 : channel.read(buffer);
      if (count < 0) {
        if (!source.isResponseComplete(isRequestWritten())) {
          throw source.givenUp("its body broke off");
        }
        done(body.toString(StandardCharsets.UTF_8));
        return;
      }
      if (count == 0) {
        channel.resumeReads();
        return;
      }
      source.allowSkipped();
      append(buffer.flip());
      buffer.clear();
    }
    if (!released) {
      channel.wakeupReads();
    }
  }

  private void append(ByteBuffer buffer) throws IOException {
    int size = body.size() + buffer.remaining();
    if (size > MAX_BODY_BYTES) {
      throw source.givenUp("its body exceeds " + MAX_BODY_BYTES + " bytes");
    }
    if (!memory.tryResize((long) MEMORY_PER_BYTE * size)) {
      throw source.givenUp("no memory is left for its body");
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    body.writeBytes(bytes);
    chunkListener.accept(new String(bytes, StandardCharsets.UTF_8));
  }
}
