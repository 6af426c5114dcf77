package io.jacinthquay.router.service.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The limit of one event. */
class SseSplitterLimitTest {
  private static final int READ_BYTES = 16 * 1024;

  /** An event without end was held up to three times the limit, as the buffer grew with it. */
  @ParameterizedTest
  @ValueSource(ints = {1_000, READ_BYTES})
  void refusesAnEventAtTheLimit(int readBytes) {
    SseSplitter splitter = new SseSplitter();
    long added = readBytes;
    while (splitter.add(ByteBuffer.allocate(readBytes))) {
      splitter.drain((bytes, from, to) -> true);
      added += readBytes;
    }
    long most = SseSplitter.MAX_EVENT_BYTES + 2L * readBytes;
    assertTrue(added > SseSplitter.MAX_EVENT_BYTES, () -> "refused too soon");
    assertTrue(added <= most, "held " + added + " bytes");
  }

  /** Whole events that came in one read count each for itself. */
  @Test
  void takesManyEventsBeyondTheLimit() {
    SseSplitter splitter = new SseSplitter();
    byte[] events = "data: x\n\n".repeat(1_000).getBytes(StandardCharsets.US_ASCII);
    int[] seen = new int[1];
    for (int i = 0; i < 200; i++) {
      assertTrue(splitter.add(ByteBuffer.wrap(events)));
      splitter.drain(
          (bytes, from, to) -> {
            seen[0]++;
            return true;
          });
    }
    assertEquals(200_000, seen[0]);
  }
}
