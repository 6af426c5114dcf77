package io.jacinthquay.testkit.plain;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** A large response body, written as fast as the client reads it. */
final class BulkResponse {
  private static final int CHUNK_BYTES = 64 * 1024;

  private final HttpServerExchange exchange;
  private final AtomicLong sentBytes;
  private final ByteBuffer chunk = ByteBuffer.allocate(CHUNK_BYTES);
  private long remainingBytes;
  private StreamSinkChannel sink;

  BulkResponse(HttpServerExchange exchange, long bytes, AtomicLong sentBytes) {
    this.exchange = exchange;
    this.remainingBytes = bytes;
    this.sentBytes = sentBytes;
  }

  void start() {
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, remainingBytes);
    sink = exchange.getResponseChannel();
    sink.getWriteSetter().set(channel -> write());
    write();
  }

  private void write() {
    try {
      while (remainingBytes > 0) {
        chunk.clear().limit((int) Math.min(CHUNK_BYTES, remainingBytes));
        int written = sink.write(chunk);
        if (written == 0) {
          sink.resumeWrites();
          return;
        }
        remainingBytes -= written;
        sentBytes.addAndGet(written);
      }
      exchange.endExchange();
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }
}
