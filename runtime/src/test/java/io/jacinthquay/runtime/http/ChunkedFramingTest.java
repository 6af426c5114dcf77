package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the end of chunked bodies, read at once and byte by byte. */
final class ChunkedFramingTest {
  private final ChunkedFraming framing = new ChunkedFraming();

  private int read(String text) throws InvalidFramingException {
    ByteBuffer buffer = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    return framing.read(buffer, 0, buffer.limit());
  }

  private void readSingly(String text) throws InvalidFramingException {
    for (int i = 0; i < text.length(); i++) {
      assertEquals(1, read(text.substring(i, i + 1)), "byte " + i);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0\r\n\r\n",
        "000\r\n\r\n",
        "5\r\nhello\r\n0\r\n\r\n",
        "00a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n",
        "2\r\n\r\n\r\n0\r\n\r\n",
        "5;a=b;c\r\nhello\r\n0;d=\"e f\"\r\n\r\n",
        "5 \t;a=b\r\nhello\r\n0\r\n\r\n",
        "0\r\nX-A: 1\r\nX-B:\r\n\r\n"
      })
  void endsAtTheEnd(String body) throws Exception {
    assertEquals(body.length(), read(body + "HTTP/1.1"));
    assertTrue(framing.isComplete());
    framing.restart();
    readSingly(body);
    assertTrue(framing.isComplete());
    for (int end = 0; end < body.length(); end++) {
      framing.restart();
      assertEquals(end, read(body.substring(0, end)));
      assertFalse(framing.isComplete(), "after " + end + " bytes");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "zz\r\n\r\n",
        "-1\r\n\r\n",
        "+5\r\nhello\r\n",
        "0x5\r\nhello\r\n",
        "5g\r\nhello\r\n",
        "\u00b2\r\n",
        "\r\n",
        ";a=b\r\n",
        " 5\r\nhello\r\n",
        "5 \r\nhello\r\n",
        "5 5\r\nhello\r\n",
        "5\nhello\r\n",
        "5\r\r\n",
        "5\rhello",
        "5;a\nhello\r\n",
        "5;\0\r\n",
        "5\r\nhelloworld",
        "5\r\nhello0\r\n\r\n",
        "5\r\nhello\n0\r\n",
        "5\r\nhello\r0\r\n",
        "8000000000000000\r\n",
        "FFFFFFFFFFFFFFFF\r\n",
        "FFFFFFFFFFFFFFFFF\r\n",
        "00000000000000005\r\n",
        "0\r\nbad\r\n",
        "0\r\n: a\r\n",
        "0\r\nX A: 1\r\n",
        "0\r\nX-A: 1\n\r\n",
        "0\r\nX-A: 1\r\n b\r\n",
        "0\r\n\n",
        "0\r\n\rX"
      })
  void invalidChunksFail(String body) {
    assertThrows(InvalidFramingException.class, () -> read(body));
    framing.restart();
    assertThrows(InvalidFramingException.class, () -> readSingly(body));
    assertFalse(framing.isComplete());
  }

  private long trailerCost(HeadCost cost, String text) throws InvalidFramingException {
    ByteBuffer buffer = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    int end = framing.read(buffer, 0, buffer.limit());
    int start = framing.trailersStart();
    return cost.add(buffer, start < 0 ? end : start, end);
  }

  /** Trailers of few bytes take far more memory than their bytes, content and framing take none. */
  @ParameterizedTest
  @CsvSource({
    "'5\r\nhello\r\n', 0",
    "'a;x=y\r\n0\n\n0\n\n0\n\n0\r\n0\r\n', 0",
    "'2\r\n\r\n\r\nf\r\n0123456789abcde\r\n0\r\na:b\r\n', 230",
    "'0\r\na:b\r\n', 230",
    "'5\r\nhello\r\n0;x\r\na:b\r\nc:', 234",
    "'0\r\na:b\r\n\r\nHTTP/1.1', 454"
  })
  void onlyTrailersCostMemory(String body, long expectedBytes) throws Exception {
    assertEquals(expectedBytes, trailerCost(new HeadCost(), body));
    framing.restart();
    HeadCost singly = new HeadCost();
    long costBytes = 0;
    for (int i = 0; i < body.length(); i++) {
      costBytes = trailerCost(singly, body.substring(i, i + 1));
    }
    assertEquals(expectedBytes, costBytes);
  }
}
