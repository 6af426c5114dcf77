package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two engines, one of which fails every request that it runs. */
class EjectedUpstreamTest {
  private static final int MOST_REQUESTS = 1_000;
  private static final int STREAK = 50;

  private RouterFixture fixture;

  @BeforeEach
  void start() {
    fixture = new RouterFixture();
    fixture.listBoth();
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  /** Slots that were granted ahead of demand would otherwise lead back to it. */
  @Test
  void failingEngineGetsNoMoreSlots() throws IOException {
    fixture.engine.faults().deaf(true);
    int streak = 0;
    int before = 0;
    for (int i = 0; i < MOST_REQUESTS && streak < STREAK; i++) {
      try (RawCaller caller = new RawCaller(fixture.address())) {
        caller.call(RawCaller.post(WholePathTest.CHAT, RouterFixture.KEY, WholePathTest.WHOLE));
      }
      int now = fixture.engine.runs().size();
      streak = now == before ? streak + 1 : 0;
      before = now;
    }
    assertTrue(streak >= STREAK, "runs on the failing engine: " + before);
    assertTrue(before > 0);
  }
}
