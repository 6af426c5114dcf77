package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HeadCostTest {
  private final HeadCost cost = new HeadCost();

  private long add(String read) {
    byte[] bytes = read.getBytes(StandardCharsets.US_ASCII);
    return cost.add(ByteBuffer.wrap(bytes), 0, bytes.length);
  }

  /** Small headers and parameters take far more memory than their bytes. */
  @ParameterizedTest
  @CsvSource({"abcd, 8", "'a:b\n', 228", "'?a&b', 168", "'/a;b', 168", "'\n\na', 446"})
  void countHeadersAndParameters(String head, long expectedBytes) {
    assertEquals(expectedBytes, add(head));
  }

  @Test
  void partsAddUpUntilTheHeadIsComplete() {
    assertEquals(228, add("a:b\n"));
    assertEquals(236, add("c:de"));
    assertEquals(236, cost.reset());
    assertEquals(8, add("abcd"));
  }

  @ParameterizedTest
  @CsvSource({"'a\n', '\nbody\n'", "'a\r\n\r', '\nbody\n'", "'', 'a\n\nbody\n'"})
  void bodyBehindTheHeadDoesNotCount(String first, String second) {
    long headBytes = 2L * (first + second).indexOf("body") + 2 * 220;
    add(first);
    assertEquals(headBytes, add(second));
  }

  /** Otherwise an empty line that the parser skips would hide what follows. */
  @Test
  void everythingCountsIfTheParserReadsOn() {
    add("a\n\n");
    long before = add("");
    assertEquals(before + 3 * 222 + 2, add("\n\n\nb"));
  }

  /** The head behind an interim response wasn't counted if it came in the same read. */
  @Test
  void headBehindAnInterimResponseCounts() {
    String interim = "HTTP/1.1 100 Continue\r\n\r\n";
    String read = interim + interim + "HTTP/1.1 200 OK\r\na:b\r\n\r\n";
    long expectedBytes = 2L * read.length() + 7 * 220;
    assertEquals(expectedBytes, add(read + "body\n"));
  }
}
