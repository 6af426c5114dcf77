package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.testkit.engine.EngineText;
import io.jacinthquay.testkit.net.TcpRelay;
import io.jacinthquay.testkit.plain.PlainRun;
import io.jacinthquay.testkit.platform.FakeVm;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Closes the connection to the upstream after 0, 1, 2 and more bytes (with larger steps for
 * idempotent requests and streams) and compares the reported outcome with what ran.
 */
class CutConnectionsTest {
  private RouterFixture fixture;
  private TcpRelay plainRelay;
  private TcpRelay engineRelay;

  @BeforeEach
  void start() {
    fixture = new RouterFixture();
    plainRelay = new TcpRelay(fixture.plain.address());
    plainRelay.start();
    engineRelay = new TcpRelay(fixture.engine.address());
    engineRelay.start();
    fixture.platform.vms(
        List.of(
            FakeVm.engine("engine-cut", "a", "engines", engineRelay.address()),
            FakeVm.plain("app-cut", "a", "apps", plainRelay.address())));
    RouterFixture.await(() -> fixture.router.isListed("app-cut"));
  }

  @AfterEach
  void stop() {
    plainRelay.stop();
    engineRelay.stop();
    fixture.close();
  }

  private Response call(String request) throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      return caller.call(request);
    }
  }

  private long runsOf(String requestId) {
    return fixture.plain.runs().stream().map(PlainRun::requestId).filter(requestId::equals).count();
  }

  /** Checks that the outcome that the router reports agrees with the runs that the service saw. */
  private void assertOutcomeMatchesRuns(Response response, boolean idempotent, String cut) {
    String id = response.header("x-request-id");
    RouterFixture.await(() -> fixture.router.activeRequests() == 0);
    long runs = runsOf(id);
    String message = cut + ": " + response.head() + response.body() + " runs: " + runs;
    assertTrue(idempotent || runs <= 1, message);
    switch (response.header("x-jq-outcome")) {
      case "not-run" -> assertEquals(0, runs, message);
      case "ran" -> assertTrue(runs >= 1, message);
      default -> assertEquals("unknown", response.header("x-jq-outcome"), message);
    }
  }

  private static void assertTrue(boolean condition, String message) {
    org.junit.jupiter.api.Assertions.assertTrue(condition, message);
  }

  @Test
  void nonIdempotentRequestsRunAtMostOnceAndReportWhatRan() throws IOException {
    String request = RawCaller.post("/slots", RouterFixture.KEY, "{\"slot\":1}");
    assertOutcomeMatchesRuns(call(request), false, "uncut");
    int length = plainRelay.requests().get(0).length();
    for (int bytes = 0; bytes <= length; bytes++) {
      plainRelay.cutRequestsAfter(bytes);
      assertOutcomeMatchesRuns(call(request), false, "request cut after " + bytes);
    }
    plainRelay.removeLimits();
    for (int bytes = 0; bytes <= 120; bytes++) {
      plainRelay.cutResponsesAfter(bytes);
      assertOutcomeMatchesRuns(call(request), false, "response cut after " + bytes);
    }
  }

  @Test
  void idempotentRequestsReportWhatRan() throws IOException {
    String request = RawCaller.get("/tickets/1", RouterFixture.KEY);
    assertOutcomeMatchesRuns(call(request), true, "uncut");
    int length = plainRelay.requests().get(0).length();
    for (int bytes = 0; bytes <= length; bytes += 3) {
      plainRelay.cutRequestsAfter(bytes);
      assertOutcomeMatchesRuns(call(request), true, "request cut after " + bytes);
    }
    plainRelay.removeLimits();
    for (int bytes = 0; bytes <= 120; bytes += 3) {
      plainRelay.cutResponsesAfter(bytes);
      assertOutcomeMatchesRuns(call(request), true, "response cut after " + bytes);
    }
  }

  @Test
  void cutStreamsEndWithDoneOrAnErrorEvent() throws IOException {
    String request = RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM);
    for (int bytes = 0; bytes <= 1_400; bytes += 7) {
      engineRelay.cutResponsesAfter(bytes);
      Response response = call(request);
      if (response.status() == 200) {
        boolean complete = response.body().endsWith("data: [DONE]\n\n");
        boolean failed = response.body().contains("event: error\n");
        assertTrue(complete ^ failed, "cut after " + bytes + ": " + response.body());
        assertTrue(!complete || response.body().contains(EngineText.token(4)), response.body());
      } else {
        assertTrue(response.code() > 0, "cut after " + bytes + ": " + response.head());
      }
    }
  }
}
