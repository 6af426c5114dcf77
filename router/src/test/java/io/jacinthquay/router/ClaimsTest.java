package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.RawCaller.Answer;
import io.jacinthquay.testkit.plain.PlainFault;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ClaimsTest {
  private static final String BOOKING =
      RawCaller.post("/slots", RouterFixture.KEY, "{\"slot\":9}", "Idempotency-Key: b-1");

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
  void resendHearsTheRecordedAnswer() throws IOException {
    Answer first = caller.call(BOOKING);
    assertEquals("{\"run\":1}", first.body());
    RouterFixture.await(() -> fixture.claims.isDone("b-1"));
    Answer again = caller.call(BOOKING);
    assertEquals(first.body(), again.body());
    assertEquals("ran", again.header("x-jq-outcome"));
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void otherBodyUnderTheKeyIsRefused() throws IOException {
    caller.call(BOOKING);
    Answer other = caller.call(BOOKING.replace("9}", "8}"));
    assertEquals(ResultCode.CLAIM_BODY_DIFFERS.number(), other.code(), other.body());
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void noQuorumMeansNotRun() throws IOException {
    fixture.claims.cut(true);
    Answer refused = caller.call(BOOKING);
    assertEquals(ResultCode.CLAIM_UNAVAILABLE.number(), refused.code(), refused.body());
    assertEquals("not-run", refused.header("x-jq-outcome"));
    assertEquals(0, fixture.plain.runs().size());
  }

  @Test
  void claimIsGivenBackWhenNothingRan() throws IOException {
    fixture.plain.fault(PlainFault.REFUSE);
    Answer refused = caller.call(BOOKING);
    assertEquals("not-run", refused.header("x-jq-outcome"), refused.body());
    RouterFixture.await(() -> !fixture.claims.isBegun("b-1"));
    fixture.plain.fault(PlainFault.NONE);
    assertEquals("{\"run\":1}", caller.call(BOOKING).body());
  }

  @Test
  void answerIsRecordedAlthoughTheCallerWentAway() throws IOException {
    fixture.plain.fault(PlainFault.STALL);
    caller.send(BOOKING);
    RouterFixture.await(() -> fixture.plain.runs().size() == 1);
    caller.close();
    fixture.plain.answerStalled();
    RouterFixture.await(() -> fixture.claims.isDone("b-1"));
    try (RawCaller other = new RawCaller(fixture.address())) {
      assertEquals("{\"run\":1}", other.call(BOOKING).body());
    }
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void resendWaitsForTheFirst() throws IOException {
    fixture.plain.fault(PlainFault.STALL);
    caller.send(BOOKING);
    RouterFixture.await(() -> fixture.plain.runs().size() == 1);
    try (RawCaller other = new RawCaller(fixture.address())) {
      other.send(BOOKING);
      RouterFixture.await(() -> fixture.router.activeRequests() == 2);
      fixture.plain.answerStalled();
      assertEquals(caller.answer().body(), other.answer().body());
    }
    assertTrue(fixture.plain.runs().size() == 1);
  }
}
