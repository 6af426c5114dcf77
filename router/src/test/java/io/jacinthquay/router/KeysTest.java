package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.RawCaller.Response;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks which API keys are accepted and that no key is forwarded to an upstream. */
class KeysTest {
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

  private void assertRejected(ResultCode code, Response response) {
    assertEquals(code.number(), response.code(), response.head() + response.body());
    assertEquals(code.httpStatus(), response.status());
    assertEquals("not-run", response.header("x-jq-outcome"));
    assertEquals(0, fixture.engine.runs().size() + fixture.plain.runs().size());
  }

  @Test
  void rejectsMissingAndUnknownKeys() throws IOException {
    assertRejected(
        ResultCode.KEY_MISSING,
        caller.call(RawCaller.post(WholePathTest.CHAT, "", WholePathTest.STREAM)));
    assertRejected(
        ResultCode.KEY_UNKNOWN,
        caller.call(RawCaller.post(WholePathTest.CHAT, "guess", WholePathTest.STREAM)));
  }

  @Test
  void withdrawnKeyIsRejectedOnAnOpenConnection() throws IOException {
    assertEquals(200, caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY)).status());
    fixture.config.withdraw(RouterFixture.KEY, "atlas");
    RouterFixture.await(() -> fixture.router.configVersion() == 2);
    Response response = caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    assertEquals(ResultCode.KEY_WITHDRAWN.number(), response.code());
    assertEquals(200, caller.call(RawCaller.get("/tickets/1", RouterFixture.OTHER_KEY)).status());
    assertEquals(2, fixture.plain.runs().size());
  }

  @Test
  void withdrawalOfAKeyEndsItsStreams() throws IOException {
    fixture.engine.faults().stallAfterTokens(3);
    caller.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
    caller.until("w2 ");
    fixture.config.withdraw(RouterFixture.KEY, "atlas");
    String rest = caller.until("0\r\n\r\n");
    assertTrue(rest.contains("event: error"), rest);
    assertTrue(rest.contains("\"code\":1103"), rest);
    fixture.engine.faults().stallAfterTokens(-1);
    RouterFixture.await(() -> fixture.engine.load() == 0);
  }

  @Test
  void expiryOfTheKeyLeaseRejectsKeysAndEndsStreams() throws IOException {
    fixture.engine.faults().stallAfterTokens(3);
    caller.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
    caller.until("w2 ");
    fixture.config.setUnavailable(true);
    fixture.router.expireKeyLease();
    String rest = caller.until("0\r\n\r\n");
    assertTrue(rest.contains("\"code\":1105"), rest);
    Response ready = caller.call(RawCaller.get("/ready", ""));
    assertEquals(503, ready.status());
    Response rejected = caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    assertEquals(ResultCode.KEYS_NOT_CURRENT.number(), rejected.code());
    assertEquals(200, caller.call(RawCaller.get("/hours", "")).status());
  }

  @ParameterizedTest
  @CsvSource({
    "'x-api-key: '",
    "'api-key: '",
  })
  void acceptsKeysFromHeadersAndDoesNotForwardThem(String header) throws IOException {
    String request = RawCaller.get("/tickets/1", "", header + RouterFixture.KEY, "Cookie: a=b");
    assertEquals(200, caller.call(request).status());
    String forwarded = fixture.plain.runs().get(0).headers();
    assertFalse(forwarded.contains(RouterFixture.KEY), forwarded);
    assertFalse(forwarded.toLowerCase(java.util.Locale.ROOT).contains("cookie"), forwarded);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/tickets/key-of-atlas-0123456789abcdef",
        "/tickets/1?q=key-of-atlas-0123456789abcdef",
        "/tickets/1?q=key%2Dof-atlas-0123456789%61bcdef",
        "/tickets/1?q=key%252Dof-atlas-0123456789abcdef",
      })
  void rejectsTargetsThatContainTheKey(String target) throws IOException {
    assertRejected(
        ResultCode.KEY_IN_REQUEST, caller.call(RawCaller.get(target, RouterFixture.KEY)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "key-of-atlas-0123456789abcdef",
        "key\\u002dof-atlas-0123456789\\u0061bcdef",
        "key%2Dof-atlas-0123456789abcdef",
        "key\\u00252Dof-atlas-0123456789abcdef",
      })
  void rejectsBodiesThatContainTheKey(String text) throws IOException {
    String body = WholePathTest.STREAM.replace("the zip is stuck", text);
    assertRejected(
        ResultCode.KEY_IN_REQUEST,
        caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, body)));
  }

  @Test
  void rejectsHeadersThatContainTheKey() throws IOException {
    String header = "User-Agent: me/" + RouterFixture.KEY;
    assertRejected(
        ResultCode.KEY_IN_REQUEST,
        caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY, header)));
  }

  @Test
  void rejectsClassesThatTheCustomerMayNotUse() throws IOException {
    String request = RawCaller.get("/tickets/1", RouterFixture.OTHER_KEY, "x-jq-class: quick");
    assertRejected(ResultCode.CLASS_NOT_ALLOWED, caller.call(request));
    String allowed = RawCaller.get("/tickets/1", RouterFixture.KEY, "x-jq-class: patient");
    assertEquals(200, caller.call(allowed).status());
  }
}
