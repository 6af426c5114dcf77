package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.router.RawCaller.Answer;
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

  private Answer stream() throws IOException {
    return caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
  }

  /** Retries are limited to a share of successes. */
  private void earnRetries() throws IOException {
    for (int request = 0; request < 50; request++) {
      assertEquals(200, stream().status());
    }
  }

  private static String text(Answer answer) {
    StringBuilder text = new StringBuilder();
    for (String part : answer.body().split("\"content\":\"")) {
      if (part.startsWith("w")) {
        text.append(part, 0, part.indexOf('"'));
      }
    }
    return text.toString();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3, 4})
  void continuesABrokenStreamWithoutGapOrRepeat(int tokens) throws IOException {
    fixture.listBoth();
    earnRetries();
    fixture.engine.faults().dieAfterTokens(tokens);
    for (int request = 0; request < 4; request++) {
      Answer answer = stream();
      assertEquals(EngineText.tokens(0, 5), text(answer), answer.body());
      assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
      assertFalse(answer.body().contains("event: error"));
    }
  }

  @Test
  void brokenStreamWithoutAnotherUpstreamEndsInAnErrorEvent() throws IOException {
    fixture.engine.faults().dieAfterTokens(2);
    Answer answer = stream();
    assertTrue(text(answer).startsWith(EngineText.tokens(0, 2)), answer.body());
    assertTrue(answer.body().contains("event: error"), answer.body());
    assertTrue(answer.body().contains("\"outcome\":\"ran\""), answer.body());
    assertFalse(answer.body().contains("[DONE]"));
  }

  @Test
  void stalledStreamMovesOn() throws IOException {
    fixture.listBoth();
    earnRetries();
    fixture.engine.faults().stallAfterTokens(2);
    for (int request = 0; request < 3; request++) {
      assertEquals(EngineText.tokens(0, 5), text(stream()));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void crossedAnswersReachNobody(boolean inHead) throws IOException {
    fixture.engine.faults().crossHeads(inHead).crossEvents(!inHead);
    Answer answer = stream();
    assertTrue(answer.body().contains("ANSWER_MISMATCH"), answer.body());
    assertEquals("unknown", answer.header("x-jq-outcome"));
    assertFalse(answer.body().contains("another-request"));
    fixture.engine.faults().crossHeads(false).crossEvents(false);
    assertEquals(EngineText.tokens(0, 5), text(stream()));
  }

  @Test
  void crossedWholeAnswerReachesNobody() throws IOException {
    fixture.engine.faults().crossEvents(true);
    Answer answer =
        caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.WHOLE));
    assertTrue(answer.body().contains("ANSWER_MISMATCH"), answer.body());
    assertFalse(answer.body().contains("another-request"));
  }

  @Test
  void refusalIsProofThatNothingRan() throws IOException {
    fixture.engine.faults().refuse(true);
    Answer answer = stream();
    assertTrue(answer.body().contains("UPSTREAM_REFUSED"), answer.body());
    assertEquals("not-run", answer.header("x-jq-outcome"));
    assertEquals(List.of(), fixture.engine.runs());
  }

  @Test
  void unreachableUpstreamRanNothing() throws IOException {
    fixture.plain.stop();
    Answer answer = caller.call(RawCaller.post("/slots", RouterFixture.KEY, "{}"));
    assertTrue(answer.body().contains("UPSTREAM_UNREACHABLE"), answer.body());
    assertEquals("not-run", answer.header("x-jq-outcome"));
  }

  @ParameterizedTest
  @EnumSource(
      value = PlainFault.class,
      names = {"DIE_BEFORE_ANSWER", "CROSSED", "STALL"})
  void requestsThatAreNotIdempotentRunOnce(PlainFault fault) throws IOException {
    fixture.plain.fault(fault);
    Answer answer = caller.call(RawCaller.post("/slots", RouterFixture.KEY, "{}"));
    assertTrue(answer.status() >= 500, answer.head());
    assertEquals("unknown", answer.header("x-jq-outcome"), answer.body());
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void answerCutShortIsNeverTakenForWhole() throws IOException {
    fixture.plain.fault(PlainFault.DIE_WITHIN_ANSWER);
    Answer answer = caller.call(RawCaller.post("/slots", RouterFixture.KEY, "{}"));
    int length = Integer.parseInt(answer.header("content-length"));
    assertTrue(answer.body().length() < length, "all of " + length + " bytes came");
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void callerThatGoesAwayCancelsItsWork() throws IOException {
    fixture.engine.faults().stallAfterTokens(3);
    String body = WholePathTest.STREAM.replace("\"max_tokens\":5", "\"max_tokens\":100000");
    caller.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, body));
    caller.until("w2 ");
    caller.close();
    RouterFixture.await(() -> fixture.router.activeRequests() == 0);
    fixture.engine.faults().stallAfterTokens(-1);
    RouterFixture.await(() -> fixture.engine.load() == 0);
    EngineRun run = fixture.engine.runs().get(0);
    assertFalse(run.whole());
  }
}
