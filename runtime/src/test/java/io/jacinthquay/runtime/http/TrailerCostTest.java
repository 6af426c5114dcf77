package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class TrailerCostTest {
  /** Trailers of few bytes take far more memory than their bytes, content and framing take none. */
  @ParameterizedTest
  @CsvSource({
    "'5\r\nhello\r\n', 0",
    "'a;x=y\n0\n\n0\n\n0\n\n0\n', 0",
    "'2\n\n\n\nfF\n0\na:b\n', 0",
    "'0\r\na:b\n', 228",
    "'5\r\nhello\r\n0;x\r\na:b\nc:', 232",
    "'zz\na:b\n', 228",
    "'\na:b\n', 228"
  })
  void countsTrailersOnly(String content, long expectedBytes) {
    byte[] bytes = content.getBytes(StandardCharsets.US_ASCII);
    assertEquals(expectedBytes, new TrailerCost().add(ByteBuffer.wrap(bytes), 0, bytes.length));
    TrailerCost byteByByte = new TrailerCost();
    long lastBytes = 0;
    for (int i = 0; i < bytes.length; i++) {
      lastBytes = byteByByte.add(ByteBuffer.wrap(bytes), i, i + 1);
    }
    assertEquals(expectedBytes, lastBytes);
  }
}
