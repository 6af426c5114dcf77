package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.router.port.UsageCount;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks usage counters, a stop during requests, and backpressure. */
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
  void countsTheTokensThatTheCallerReceived() throws IOException {
    String chat = RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM);
    assertEquals(200, caller.call(chat).status());
    assertEquals(
        200,
        caller
            .call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.WHOLE))
            .status());
    fixture.engine.faults().dieAfterTokens(2);
    caller.call(chat);
    fixture.engine.faults().rejectRequests(true);
    assertTrue(caller.call(chat).status() >= 500);
    fixture.router.stop();
    UsageCount count = fixture.usageByModel("atlas").get("mender");
    long brokenStreamTokens = count.outputTokens() - 10;
    assertTrue(brokenStreamTokens >= 2 && brokenStreamTokens <= 4, count.toString());
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
  void gracefulStopFinishesStreamsAndRejectsNewRequests() throws IOException {
    fixture.engine.faults().stallAfterTokens(3);
    caller.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
    caller.until("w2 ");
    try (RawCaller idle = new RawCaller(fixture.address())) {
      assertEquals(200, idle.call(RawCaller.get("/ready", "")).status());
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(fixture.router::stop);
      RouterFixture.await(() -> !fixture.router.isReady());
      Response rejected = firstRejection(idle);
      assertTrue(rejected.body().contains("SHUTTING_DOWN"), rejected.body());
      assertTrue(!stopped.isDone());
      fixture.engine.faults().stallAfterTokens(-1);
      String rest = caller.until("data: [DONE]\n\n");
      assertTrue(rest.endsWith("data: [DONE]\n\n"), rest);
      stopped.join();
    }
    assertEquals(5, fixture.usageByModel("atlas").get("mender").outputTokens());
  }

  private static Response firstRejection(RawCaller idle) throws IOException {
    Response response = idle.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    while (response.status() == 200) {
      response = idle.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    }
    return response;
  }

  @Test
  void slowCallerSlowsTheUpstreamDown() throws IOException {
    int bytes = 100_000_000;
    fixture.plain.setResponseBytes(bytes);
    caller.send(RawCaller.get("/tickets/1", RouterFixture.KEY));
    caller.head();
    long sentBytes = -1;
    while (fixture.plain.sentBytes() != sentBytes) {
      sentBytes = fixture.plain.sentBytes();
      for (int request = 0; request < 20; request++) {
        assertEquals(200, statusOf("/health"));
      }
    }
    assertTrue(sentBytes < bytes / 2, "sent " + sentBytes);
    assertEquals(bytes, caller.socket().getInputStream().readNBytes(bytes).length);
  }

  private int statusOf(String path) throws IOException {
    try (RawCaller other = new RawCaller(fixture.address())) {
      return other.call(RawCaller.get(path, "")).status();
    }
  }
}
