package io.jacinthquay.testkit.plain;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** A large answer, written as fast as its reader takes it. */
final class BulkAnswer {
  private static final int PART_BYTES = 64 * 1024;

  private final HttpServerExchange exchange;
  private final AtomicLong sent;
  private final ByteBuffer part = ByteBuffer.allocate(PART_BYTES);
  private long left;
  private StreamSinkChannel sink;

  BulkAnswer(HttpServerExchange exchange, long bytes, AtomicLong sent) {
    this.exchange = exchange;
    this.left = bytes;
    this.sent = sent;
  }

  void start() {
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, left);
    sink = exchange.getResponseChannel();
    sink.getWriteSetter().set(channel -> write());
    write();
  }

  private void write() {
    try {
      while (left > 0) {
        part.clear().limit((int) Math.min(PART_BYTES, left));
        int count = sink.write(part);
        if (count == 0) {
          sink.resumeWrites();
          return;
        }
        left -= count;
        sent.addAndGet(count);
      }
      exchange.endExchange();
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }
}
