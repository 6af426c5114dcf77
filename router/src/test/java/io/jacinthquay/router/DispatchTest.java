package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.router.RawCaller.Answer;
import io.jacinthquay.testkit.engine.EngineText;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One engine that bears one request at a time. */
class DispatchTest {
  private RouterFixture fixture;
  private RawCaller first;
  private RawCaller second;

  @BeforeEach
  void start() throws IOException {
    fixture = new RouterFixture();
    first = new RawCaller(fixture.address());
    second = new RawCaller(fixture.address());
    fixture.engine.faults().stallAfterTokens(3);
    first.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
    first.until("w2 ");
  }

  @AfterEach
  void stop() throws IOException {
    first.close();
    second.close();
    fixture.close();
  }

  private static String chat(String className) {
    return RawCaller.post(
        WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM, "x-jq-class: " + className);
  }

  @Test
  void hopelessRequestIsRefusedWithoutRunning() throws IOException {
    Answer answer = second.call(chat("brief"));
    assertTrue(answer.code() == 1200 || answer.code() == 1201, answer.head() + answer.body());
    assertEquals("not-run", answer.header("x-jq-outcome"));
    assertEquals(1, fixture.engine.runs().size());
  }

  @Test
  void waitingRequestRunsOnceTheSlotIsFree() throws IOException {
    second.send(chat("patient"));
    RouterFixture.await(() -> fixture.router.activeRequests() == 2);
    assertEquals(1, fixture.engine.runs().size());
    fixture.engine.faults().stallAfterTokens(-1);
    Answer answer = second.answer();
    assertEquals(200, answer.status(), answer.body());
    assertTrue(answer.body().contains(EngineText.token(4)), answer.body());
  }
}
