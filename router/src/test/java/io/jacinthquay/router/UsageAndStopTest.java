package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.router.RawCaller.Answer;
import io.jacinthquay.router.port.UsageCount;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UsageAndStopTest {
  private RouterFixture fixture;
  private RawCaller caller;

  @BeforeEach
  void start() throws IOException {
    fixture = new RouterFixture();
    caller = new RawCaller(fixture.address());
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    fixture.close();
  }

  @Test
  void billsWhatTheCallerWasGiven() throws IOException {
    String chat = RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM);
    assertEquals(200, caller.call(chat).status());
    assertEquals(
        200,
        caller
            .call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.WHOLE))
            .status());
    fixture.engine.faults().dieAfterTokens(2);
    caller.call(chat);
    fixture.engine.faults().refuse(true);
    assertTrue(caller.call(chat).status() >= 500);
    fixture.router.stop();
    UsageCount count = fixture.usageByModel("atlas").get("mender");
    long broken = count.outputTokens() - 10;
    assertTrue(broken >= 2 && broken <= 4, count.toString());
    assertEquals(3, count.requests());
    assertTrue(count.inputTokens() > 0);
  }

  @Test
  void countsPlainRequestsByRoute() throws IOException {
    caller.call(RawCaller.get("/tickets/1", RouterFixture.OTHER_KEY));
    caller.call(RawCaller.get("/hours", ""));
    fixture.router.stop();
    assertEquals(1, fixture.usageByModel("lakeshore").get("tickets").requests());
    assertEquals(1, fixture.usageByModel("open").get("hours").requests());
  }

  @Test
  void gracefulStopFinishesStreamsAndRefusesNewWork() throws IOException {
    fixture.engine.faults().stallAfterTokens(3);
    caller.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
    caller.until("w2 ");
    try (RawCaller idle = new RawCaller(fixture.address())) {
      assertEquals(200, idle.call(RawCaller.get("/ready", "")).status());
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(fixture.router::stop);
      RouterFixture.await(() -> !fixture.router.isReady());
      Answer refused = refused(idle);
      assertTrue(refused.body().contains("SHUTTING_DOWN"), refused.body());
      assertTrue(!stopped.isDone());
      fixture.engine.faults().stallAfterTokens(-1);
      String rest = caller.until("data: [DONE]\n\n");
      assertTrue(rest.endsWith("data: [DONE]\n\n"), rest);
      stopped.join();
    }
    assertEquals(5, fixture.usageByModel("atlas").get("mender").outputTokens());
  }

  private static Answer refused(RawCaller idle) throws IOException {
    Answer answer = idle.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    while (answer.status() == 200) {
      answer = idle.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    }
    return answer;
  }

  @Test
  void slowCallerHoldsTheUpstreamBack() throws IOException {
    int bytes = 100_000_000;
    fixture.plain.answerBytes(bytes);
    caller.send(RawCaller.get("/tickets/1", RouterFixture.KEY));
    caller.head();
    long before = -1;
    while (fixture.plain.sentBytes() != before) {
      before = fixture.plain.sentBytes();
      for (int turn = 0; turn < 20; turn++) {
        assertEquals(200, statusOf("/health"));
      }
    }
    assertTrue(before < bytes / 2, "sent " + before);
    assertEquals(bytes, caller.socket().getInputStream().readNBytes(bytes).length);
  }

  private int statusOf(String path) throws IOException {
    try (RawCaller other = new RawCaller(fixture.address())) {
      return other.call(RawCaller.get(path, "")).status();
    }
  }
}
