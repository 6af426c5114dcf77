package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two engines, one of which accepts every request and fails it. */
class EjectedUpstreamTest {
  private static final int MAX_REQUESTS = 1_000;

  /** Consecutive requests without a run on the failing engine that show that it is ejected. */
  private static final int REQUIRED_STREAK = 50;

  private RouterFixture fixture;

  @BeforeEach
  void start() {
    fixture = new RouterFixture();
    fixture.listBothEngines();
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  /** Slots that were granted ahead of demand must not lead back to the ejected engine. */
  @Test
  void ejectedEngineGetsNoMoreRequests() throws IOException {
    fixture.engine.faults().dropResponses(true);
    int streak = 0;
    int lastRuns = 0;
    for (int i = 0; i < MAX_REQUESTS && streak < REQUIRED_STREAK; i++) {
      try (RawCaller caller = new RawCaller(fixture.address())) {
        caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.WHOLE));
      }
      int runs = fixture.engine.runs().size();
      streak = runs == lastRuns ? streak + 1 : 0;
      lastRuns = runs;
    }
    assertTrue(streak >= REQUIRED_STREAK, "runs on the failing engine: " + lastRuns);
    assertTrue(lastRuns > 0);
  }
}
