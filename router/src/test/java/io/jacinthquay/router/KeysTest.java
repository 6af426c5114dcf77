package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.RawCaller.Answer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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

  private void assertRefused(ResultCode code, Answer answer) {
    assertEquals(code.number(), answer.code(), answer.head() + answer.body());
    assertEquals(code.httpStatus(), answer.status());
    assertEquals("not-run", answer.header("x-jq-outcome"));
    assertEquals(0, fixture.engine.runs().size() + fixture.plain.runs().size());
  }

  @Test
  void refusesMissingAndUnknownKeys() throws IOException {
    assertRefused(
        ResultCode.KEY_MISSING,
        caller.call(RawCaller.post(WholePathTest.CHAT, "", WholePathTest.STREAM)));
    assertRefused(
        ResultCode.KEY_UNKNOWN,
        caller.call(RawCaller.post(WholePathTest.CHAT, "guess", WholePathTest.STREAM)));
  }

  @Test
  void withdrawnKeyStopsOnAnOpenConnection() throws IOException {
    assertEquals(200, caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY)).status());
    fixture.config.withdraw(RouterFixture.KEY, "atlas");
    RouterFixture.await(() -> fixture.router.configVersion() == 2);
    Answer answer = caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    assertEquals(ResultCode.KEY_WITHDRAWN.number(), answer.code());
    assertEquals(200, caller.call(RawCaller.get("/tickets/1", RouterFixture.OTHER_KEY)).status());
    assertEquals(2, fixture.plain.runs().size());
  }

  @Test
  void withdrawnKeyEndsItsStreams() throws IOException {
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
  void endOfTheKeyLeaseRefusesKeysAndEndsStreams() throws IOException {
    fixture.engine.faults().stallAfterTokens(3);
    caller.send(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.STREAM));
    caller.until("w2 ");
    fixture.config.cut(true);
    fixture.router.expireKeys();
    String rest = caller.until("0\r\n\r\n");
    assertTrue(rest.contains("\"code\":1105"), rest);
    Answer ready = caller.call(RawCaller.get("/ready", ""));
    assertEquals(503, ready.status());
    Answer refused = caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY));
    assertEquals(ResultCode.KEYS_NOT_CURRENT.number(), refused.code());
    assertEquals(200, caller.call(RawCaller.get("/hours", "")).status());
  }

  @ParameterizedTest
  @CsvSource({
    "'x-api-key: '",
    "'api-key: '",
  })
  void takesKeysFromHeadersAndHidesThem(String header) throws IOException {
    String request = RawCaller.get("/tickets/1", "", header + RouterFixture.KEY, "Cookie: a=b");
    assertEquals(200, caller.call(request).status());
    String seen = fixture.plain.runs().get(0).headers();
    assertFalse(seen.contains(RouterFixture.KEY), seen);
    assertFalse(seen.toLowerCase(java.util.Locale.ROOT).contains("cookie"), seen);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/tickets/key-of-atlas-0123456789abcdef",
        "/tickets/1?q=key-of-atlas-0123456789abcdef",
        "/tickets/1?q=key%2Dof-atlas-0123456789%61bcdef",
        "/tickets/1?q=key%252Dof-atlas-0123456789abcdef",
      })
  void refusesTargetsThatHoldTheKey(String target) throws IOException {
    assertRefused(ResultCode.KEY_IN_REQUEST, caller.call(RawCaller.get(target, RouterFixture.KEY)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "key-of-atlas-0123456789abcdef",
        "key\\u002dof-atlas-0123456789\\u0061bcdef",
        "key%2Dof-atlas-0123456789abcdef",
        "key\\u00252Dof-atlas-0123456789abcdef",
      })
  void refusesBodiesThatHoldTheKey(String text) throws IOException {
    String body = WholePathTest.STREAM.replace("the zip is stuck", text);
    assertRefused(
        ResultCode.KEY_IN_REQUEST,
        caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, body)));
  }

  @Test
  void refusesHeadersThatHoldTheKey() throws IOException {
    String header = "User-Agent: me/" + RouterFixture.KEY;
    assertRefused(
        ResultCode.KEY_IN_REQUEST,
        caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY, header)));
  }

  @Test
  void customersMayOnlyUseTheirClasses() throws IOException {
    String request = RawCaller.get("/tickets/1", RouterFixture.OTHER_KEY, "x-jq-class: quick");
    assertRefused(ResultCode.CLASS_NOT_ALLOWED, caller.call(request));
    String allowed = RawCaller.get("/tickets/1", RouterFixture.KEY, "x-jq-class: patient");
    assertEquals(200, caller.call(allowed).status());
  }
}
