package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.router.RawCaller.Answer;
import io.jacinthquay.testkit.engine.EngineText;
import io.jacinthquay.testkit.net.TcpRelay;
import io.jacinthquay.testkit.plain.PlainRun;
import io.jacinthquay.testkit.platform.FakeVm;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Cuts the connection to the upstream at every byte and compares outcomes with what ran. */
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
    RouterFixture.await(() -> fixture.router.lists("app-cut"));
  }

  @AfterEach
  void stop() {
    plainRelay.stop();
    engineRelay.stop();
    fixture.close();
  }

  private Answer call(String request) throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      return caller.call(request);
    }
  }

  private long runsOf(String requestId) {
    return fixture.plain.runs().stream().map(PlainRun::requestId).filter(requestId::equals).count();
  }

  /** What the router says of a request must agree with the record of the service. */
  private void assertHonest(Answer answer, boolean idempotent, String where) {
    String id = answer.header("x-request-id");
    RouterFixture.await(() -> fixture.router.activeRequests() == 0);
    long runs = runsOf(id);
    String said = where + ": " + answer.head() + answer.body() + " runs: " + runs;
    assertTrue(idempotent || runs <= 1, said);
    switch (answer.header("x-jq-outcome")) {
      case "not-run" -> assertEquals(0, runs, said);
      case "ran" -> assertTrue(runs >= 1, said);
      default -> assertEquals("unknown", answer.header("x-jq-outcome"), said);
    }
  }

  private static void assertTrue(boolean condition, String message) {
    org.junit.jupiter.api.Assertions.assertTrue(condition, message);
  }

  @Test
  void requestsThatAreNotIdempotent() throws IOException {
    String request = RawCaller.post("/slots", RouterFixture.KEY, "{\"slot\":1}");
    assertHonest(call(request), false, "uncut");
    int length = plainRelay.requests().get(0).length();
    for (int at = 0; at <= length; at++) {
      plainRelay.cutRequestsAfter(at);
      assertHonest(call(request), false, "request cut after " + at);
    }
    plainRelay.cutNothing();
    for (int at = 0; at <= 120; at++) {
      plainRelay.cutAnswersAfter(at);
      assertHonest(call(request), false, "answer cut after " + at);
    }
  }

  @Test
  void requestsThatAreIdempotent() throws IOException {
    String request = RawCaller.get("/tickets/1", RouterFixture.KEY);
    assertHonest(call(request), true, "uncut");
    int length = plainRelay.requests().get(0).length();
    for (int at = 0; at <= length; at += 3) {
      plainRelay.cutRequestsAfter(at);
      assertHonest(call(request), true, "request cut after " + at);
    }
    plainRelay.cutNothing();
    for (int at = 0; at <= 120; at += 3) {
      plainRelay.cutAnswersAfter(at);
      assertHonest(call(request), true, "answer cut after " + at);
    }
  }

  @Test
  void streamsEndInTheirLastEventOrInAnErrorEvent() throws IOException {
    String request = RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM);
    for (int at = 0; at <= 1_400; at += 7) {
      engineRelay.cutAnswersAfter(at);
      Answer answer = call(request);
      if (answer.status() == 200) {
        boolean whole = answer.body().endsWith("data: [DONE]\n\n");
        boolean broken = answer.body().contains("event: error\n");
        assertTrue(whole ^ broken, "cut after " + at + ": " + answer.body());
        assertTrue(!whole || answer.body().contains(EngineText.token(4)), answer.body());
      } else {
        assertTrue(answer.code() > 0, "cut after " + at + ": " + answer.head());
      }
    }
  }
}
