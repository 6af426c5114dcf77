package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.testkit.engine.EngineText;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Dispatches to one engine that runs one request at a time, and is running one. */
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
  void requestThatCannotMeetItsTargetIsRejectedWithoutRunning() throws IOException {
    Response response = second.call(chat("brief"));
    assertTrue(
        response.code() == 1200 || response.code() == 1201, response.head() + response.body());
    assertEquals("not-run", response.header("x-jq-outcome"));
    assertEquals(1, fixture.engine.runs().size());
  }

  @Test
  void queuedRequestRunsOnceTheSlotIsFree() throws IOException {
    second.send(chat("patient"));
    RouterFixture.await(() -> fixture.router.activeRequests() == 2);
    assertEquals(1, fixture.engine.runs().size());
    fixture.engine.faults().stallAfterTokens(-1);
    Response response = second.response();
    assertEquals(200, response.status(), response.body());
    assertTrue(response.body().contains(EngineText.token(4)), response.body());
  }
}
