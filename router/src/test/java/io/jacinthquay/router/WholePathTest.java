package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.testkit.engine.EngineRun;
import io.jacinthquay.testkit.engine.EngineText;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests through a router to upstreams and checks responses, state and metrics. */
class WholePathTest {
  static final String CHAT = "/v1/chat/completions";
  static final String STREAM =
      "{\"model\":\"mender\",\"stream\":true,\"max_tokens\":5,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"the zip is stuck\"}]}";
  static final String WHOLE = STREAM.replace("\"stream\":true,", "");

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
  void streamsAResponse() throws IOException {
    Response response = caller.call(RawCaller.post(CHAT, RouterFixture.KEY, STREAM));
    assertEquals(200, response.status(), response.head());
    assertEquals("ran", response.header("x-jq-outcome"));
    for (int token = 0; token < 5; token++) {
      assertTrue(response.body().contains(EngineText.token(token)), response.body());
    }
    assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
    EngineRun run = fixture.engine.runs().get(0);
    assertEquals(response.header("x-request-id"), run.requestId());
    assertFalse(run.headers().contains(RouterFixture.KEY));
  }

  @Test
  void forwardsAWholeResponse() throws IOException {
    Response response = caller.call(RawCaller.post(CHAT, RouterFixture.KEY, WHOLE));
    assertEquals(200, response.status(), response.body());
    assertTrue(response.body().contains(EngineText.tokens(0, 5)), response.body());
  }

  /** The connection closes with the last byte, before the router has completed the request. */
  @Test
  void responseOnAClosingConnectionIsReportedAsRan() throws IOException {
    Response response =
        caller.call(RawCaller.post(CHAT, RouterFixture.KEY, WHOLE, "Connection: close"));
    assertEquals(200, response.status(), response.body());
    RouterFixture.await(() -> metrics().contains("jq_outcomes_total{outcome="));
    assertTrue(metrics().contains("jq_outcomes_total{outcome=\"ran\"} 1"), this::metrics);
  }

  private String metrics() {
    try (RawCaller reader = new RawCaller(fixture.address())) {
      return reader.call(RawCaller.get("/metrics?format=prometheus", "")).body();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void forwardsPlainRoutes() throws IOException {
    Response response = caller.call(RawCaller.get("/tickets/7?page=2&key=", RouterFixture.KEY));
    assertEquals(200, response.status(), response.body());
    assertEquals("{\"run\":1}", response.body());
    assertEquals("/tickets/7?page=2", fixture.plain.runs().get(0).target());
  }

  @Test
  void listsModels() throws IOException {
    Response response = caller.call(RawCaller.get("/v1/models", RouterFixture.KEY));
    assertTrue(response.body().contains("\"id\":\"mender\""), response.body());
  }

  @Test
  void servesHealthReadinessAndMetrics() throws IOException {
    assertEquals(200, caller.call(RawCaller.get("/health", "")).status());
    assertEquals(200, caller.call(RawCaller.get("/ready", "")).status());
    caller.call(RawCaller.post(CHAT, RouterFixture.KEY, STREAM));
    Response json = caller.call(RawCaller.get("/metrics", ""));
    assertTrue(json.body().contains("jq_config_version"), json.body());
    Response text = caller.call(RawCaller.get("/metrics?format=prometheus", ""));
    assertTrue(text.body().contains("jq_first_token_ms{class=\"quick\",quantile="), text.body());
  }
}
