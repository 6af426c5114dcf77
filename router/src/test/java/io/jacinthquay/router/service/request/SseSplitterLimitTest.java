package io.jacinthquay.router.service.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the size limit of {@link SseSplitter}. */
class SseSplitterLimitTest {
  private static final int READ_BYTES = 16 * 1024;

  /** Guards against a buffer that grows far beyond the limit for an event that never ends. */
  @ParameterizedTest
  @ValueSource(ints = {1_000, READ_BYTES})
  void rejectsEventThatExceedsTheLimit(int readBytes) {
    SseSplitter splitter = new SseSplitter();
    long added = readBytes;
    while (splitter.add(ByteBuffer.allocate(readBytes))) {
      splitter.drain((bytes, from, to) -> true);
      added += readBytes;
    }
    long maxAdded = SseSplitter.MAX_EVENT_BYTES + 2L * readBytes;
    assertTrue(added > SseSplitter.MAX_EVENT_BYTES, () -> "rejected below the limit");
    assertTrue(added <= maxAdded, "accepted " + added + " bytes");
  }

  /** Guards against applying the limit to the sum of many complete events. */
  @Test
  void acceptsManyEventsThatTogetherExceedTheLimit() {
    SseSplitter splitter = new SseSplitter();
    byte[] events = "data: x\n\n".repeat(1_000).getBytes(StandardCharsets.US_ASCII);
    int[] eventCount = new int[1];
    for (int i = 0; i < 200; i++) {
      assertTrue(splitter.add(ByteBuffer.wrap(events)));
      splitter.drain(
          (bytes, from, to) -> {
            eventCount[0]++;
            return true;
          });
    }
    assertEquals(200_000, eventCount[0]);
  }
}
