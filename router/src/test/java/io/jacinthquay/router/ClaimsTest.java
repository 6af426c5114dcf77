package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.testkit.plain.PlainFault;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests with an idempotency key again and checks that they run at most once. */
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
  void resendGetsTheRecordedResponse() throws IOException {
    Response first = caller.call(BOOKING);
    assertEquals("{\"run\":1}", first.body());
    RouterFixture.await(() -> fixture.claims.isDone("b-1"));
    Response resend = caller.call(BOOKING);
    assertEquals(first.body(), resend.body());
    assertEquals("ran", resend.header("x-jq-outcome"));
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void differentBodyUnderTheSameKeyIsRejected() throws IOException {
    caller.call(BOOKING);
    Response other = caller.call(BOOKING.replace("9}", "8}"));
    assertEquals(ResultCode.CLAIM_BODY_DIFFERS.number(), other.code(), other.body());
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void requestIsNotRunWithoutAQuorumOfTheClaimStore() throws IOException {
    fixture.claims.setUnavailable(true);
    Response rejected = caller.call(BOOKING);
    assertEquals(ResultCode.CLAIM_UNAVAILABLE.number(), rejected.code(), rejected.body());
    assertEquals("not-run", rejected.header("x-jq-outcome"));
    assertEquals(0, fixture.plain.runs().size());
  }

  @Test
  void claimIsReleasedIfTheRequestDidNotRun() throws IOException {
    fixture.plain.setFault(PlainFault.REFUSE);
    Response rejected = caller.call(BOOKING);
    assertEquals("not-run", rejected.header("x-jq-outcome"), rejected.body());
    RouterFixture.await(() -> !fixture.claims.isClaimed("b-1"));
    fixture.plain.setFault(PlainFault.NONE);
    assertEquals("{\"run\":1}", caller.call(BOOKING).body());
  }

  @Test
  void responseIsRecordedAfterTheCallerDisconnected() throws IOException {
    fixture.plain.setFault(PlainFault.STALL);
    caller.send(BOOKING);
    RouterFixture.await(() -> fixture.plain.runs().size() == 1);
    caller.close();
    fixture.plain.sendStalledResponses();
    RouterFixture.await(() -> fixture.claims.isDone("b-1"));
    try (RawCaller other = new RawCaller(fixture.address())) {
      assertEquals("{\"run\":1}", other.call(BOOKING).body());
    }
    assertEquals(1, fixture.plain.runs().size());
  }

  @Test
  void resendWaitsForTheFirstRequest() throws IOException {
    fixture.plain.setFault(PlainFault.STALL);
    caller.send(BOOKING);
    RouterFixture.await(() -> fixture.plain.runs().size() == 1);
    try (RawCaller other = new RawCaller(fixture.address())) {
      other.send(BOOKING);
      RouterFixture.await(() -> fixture.router.activeRequests() == 2);
      fixture.plain.sendStalledResponses();
      assertEquals(caller.response().body(), other.response().body());
    }
    assertTrue(fixture.plain.runs().size() == 1);
  }
}
