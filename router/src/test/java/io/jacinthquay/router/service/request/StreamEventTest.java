package io.jacinthquay.router.service.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class StreamEventTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** An answer with many short texts took its thread for longer than callers wait. */
  @Test
  void readsManyTextsInOneAnswerWithoutCopyingEarlierOnes() {
    String choices = "{\"text\":\"abcd\"},".repeat(500_000) + "{}";
    byte[] json = ("{\"choices\":[" + choices + "]}").getBytes(StandardCharsets.UTF_8);
    StreamEvent answer = assertTimeoutPreemptively(TIMEOUT, () -> StreamEvent.ofAnswer(json));
    assertEquals(2_000_000, answer.text().length());
  }
}
