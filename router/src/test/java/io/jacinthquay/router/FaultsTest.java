package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.testkit.engine.EngineRun;
import io.jacinthquay.testkit.engine.EngineText;
import io.jacinthquay.testkit.plain.PlainFault;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Injects faults into upstreams and checks what callers receive and what ran. */
class FaultsTest {
  private RouterFixture fixture;
  private RawCaller caller;

  @BeforeEach
  void start() throws IOException {
    fixture = new RouterFixture(options -> options.withStall(Duration.ofMillis(300)));
    caller = new RawCaller(fixture.address());
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    fixture.close();
  }

  private Response stream() throws IOException {
    return caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
  }

  /** Fills the retry budget, which is a share of the successful requests. */
  private void fillRetryBudget() throws IOException {
    for (int request = 0; request < 50; request++) {
      assertEquals(200, stream().status());
    }
  }

  private static String text(Response response) {
    StringBuilder text = new StringBuilder();
    for (String part : response.body().split("\"content\":\"")) {
      if (part.startsWith("w")) {
        text.append(part, 0, part.indexOf('"'));
      }
    }
    return text.toString();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3, 4})
  void resumesABrokenStreamWithoutGapOrRepeat(int tokens) throws IOException {
    fixture.listBothEngines();
    fillRetryBudget();
    fixture.engine.faults().dieAfterTokens(tokens);
    for (int request = 0; request < 4; request++) {
      Response response = stream();
      assertEquals(EngineText.tokens(0, 5), text(response), response.body());
      assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
      assertFalse(response.body().contains("event: error"));
    }
  }

  @Test
  void brokenStreamWithoutAnotherUpstreamEndsWithAnErrorEvent() throws IOException {
    fixture.engine.faults().dieAfterTokens(2);
    Response response = stream();
    assertTrue(text(response).startsWith(EngineText.tokens(0, 2)), response.body());
    assertTrue(response.body().contains("event: error"), response.body());
    assertTrue(response.body().contains("\"outcome\":\"ran\""), response.body());
    assertFalse(response.body().contains("[DONE]"));
  }

  @Test
  void stalledStreamResumesOnAnotherUpstream() throws IOException {
    fixture.listBothEngines();
    fillRetryBudget();
    fixture.engine.faults().stallAfterTokens(2);
    for (int request = 0; request < 3; request++) {
      assertEquals(EngineText.tokens(0, 5), text(stream()));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void responsesToOtherRequestsAreNotForwarded(boolean inHead) throws IOException {
    fixture.engine.faults().mismatchHeaderIds(inHead).mismatchEventIds(!inHead);
    Response response = stream();
    assertTrue(response.body().contains("ANSWER_MISMATCH"), response.body());
    assertEquals("unknown", response.header("x-jq-outcome"));
    assertFalse(response.body().contains("another-request"));
    fixture.engine.faults().mismatchHeaderIds(false).mismatchEventIds(false);
    assertEquals(EngineText.tokens(0, 5), text(stream()));
  }

  @Test
  void wholeResponseToAnotherRequestIsNotForwarded() throws IOException {
    fixture.engine.faults().mismatchEventIds(true);
    Response response =
        caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.WHOLE));
    assertTrue(response.body().contains("ANSWER_MISMATCH"), response.body());
    assertFalse(response.body().contains("another-request"));
  }

  @Test
  void requestRejectedByTheUpstreamIsReportedAsNotRun() throws IOException {
    fixture.engine.faults().rejectRequests(true);
    Response response = stream();
    assertTrue(response.body().contains("UPSTREAM_REFUSED"), response.body());
    assertEquals("not-run", response.header("x-jq-outcome"));
    assertEquals(List.of(), fixture.engine.runs());
  }

  @Test
  void requestToAnUnreachableUpstreamIsReportedAsNotRun() throws IOException {
    fixture.plain.stop();
    Response response = caller.call(RawCaller.post("/slots", RouterFixture.KEY, "{}"));
    assertTrue(response.body().contains("UPSTREAM_UNREACHABLE"), response.body());
    assertEquals("not-run", response.header("x-jq-outcome"));
  }

  @ParameterizedTest
  @EnumSource(
      value = PlainFault.class,
      names = {"DIE_BEFORE_ANSWER", "CROSSED", "STALL"})
  void nonIdempotentRequestsRunOnce(PlainFault fault) throws IOException {
    fixture.plain.setFault(fault);
    Response response = caller.call(RawCaller.post("/slots", RouterFixture.KEY, "{}"));
    assertTrue(response.status() >= 500, response.head());
    assertEquals("unknown", response.header("x-jq-outcome"), response.body());
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void truncatedResponseIsNotForwardedAsComplete() throws IOException {
    fixture.plain.setFault(PlainFault.DIE_WITHIN_ANSWER);
    Response response = caller.call(RawCaller.post("/slots", RouterFixture.KEY, "{}"));
    int length = Integer.parseInt(response.header("content-length"));
    assertTrue(response.body().length() < length, "all of " + length + " bytes arrived");
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void disconnectOfTheCallerCancelsItsRequest() throws IOException {
    fixture.engine.faults().stallAfterTokens(3);
    String body = WholePathTest.STREAM.replace("\"max_tokens\":5", "\"max_tokens\":100000");
    caller.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, body));
    caller.until("w2 ");
    caller.close();
    RouterFixture.await(() -> fixture.router.activeRequests() == 0);
    fixture.engine.faults().stallAfterTokens(-1);
    RouterFixture.await(() -> fixture.engine.load() == 0);
    EngineRun run = fixture.engine.runs().get(0);
    assertFalse(run.complete());
  }
}
