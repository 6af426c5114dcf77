package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class BodyBufferTest {
  private static final int SIZE = 60_000;

  /** A body in parts of one byte took an array for each byte, and only the bytes were counted. */
  @ParameterizedTest
  @CsvSource({"1, 60000", "1, 8388608", "7, 60000", "16384, 60000", "16384, 8388608"})
  void returnsAllBytesAndTakesLittleMore(int partBytes, long expectedBytes) {
    BodyBuffer body = new BodyBuffer(expectedBytes);
    int next = 0;
    while (next < SIZE) {
      ByteBuffer part = ByteBuffer.allocate(Math.min(partBytes, SIZE - next));
      while (part.hasRemaining()) {
        part.put((byte) next);
        next++;
      }
      body.add(part.flip());
    }
    assertEquals(SIZE, body.size());
    assertTrue(body.memoryBytesWith(0) >= SIZE, "memory " + body.memoryBytesWith(0));
    assertTrue(body.memoryBytesWith(0) < 2.1 * SIZE, "memory " + body.memoryBytesWith(0));
    byte[] bytes = body.takeAll();
    assertEquals(SIZE, bytes.length);
    for (int i = 0; i < SIZE; i++) {
      assertEquals((byte) i, bytes[i]);
    }
    assertEquals(0, body.memoryBytesWith(0));
  }
}
