package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.RequestId;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The check reports an upstream that gets more than it states, and nothing within the bound. */
final class StatedLimitCheckTest {
  private static final int UPSTREAM = 5;

  /** Allows 11 requests in 4 s. */
  private static final double PER_SECOND = 1;

  private final History history = new History();
  private String lifetime = "i-5-0";
  private int requests;

  private void send(int router, long atMillis, boolean told) {
    requests++;
    RequestId id = new RequestId("c1-" + requests);
    long nanos = TimeUnit.MILLISECONDS.toNanos(atMillis);
    history.add(
        new Call(
            id,
            CallKind.SAFE,
            router,
            40_000,
            nanos,
            nanos,
            Call.Ending.ANSWERED,
            200,
            ExpectedResponse.body(id),
            2_000));
    history.add(new History.Arrival(id, UPSTREAM, nanos));
    if (told) {
      history.add(new History.StatedLimit(id, UPSTREAM, lifetime, PER_SECOND, nanos));
    }
  }

  @ParameterizedTest
  @CsvSource({
    // requests, of which router 1 alone was told; time between two in ms; expected violations
    "12, true, 300, 1",
    "11, true, 300, 0",
    "30, true, 400, 0",
    "20, false, 100, 0",
  })
  void requestsBeyondTheBoundAreReported(int count, boolean toldRouter, long gap, int expected) {
    send(1, 0, true);
    for (int i = 0; i < count; i++) {
      send(toldRouter ? 1 : 2, 4_000 + gap * i, false);
    }
    send(1, 60_000, true);
    assertEquals(expected, new StatedLimitCheck().judge(history).violations().size());
  }

  /** Two routers that each keep the bound may exceed it together. */
  @ParameterizedTest
  @CsvSource({"5, 0", "6, 1", "7, 3"})
  void routersAreSummed(int each, int expected) {
    send(1, 0, true);
    send(2, 10, true);
    for (int i = 0; i < each; i++) {
      send(1, 4_000 + 300L * i, false);
      send(2, 4_100 + 300L * i, false);
    }
    send(1, 60_000, true);
    assertEquals(expected, new StatedLimitCheck().judge(history).violations().size());
  }

  /** An upstream that starts again has told nobody, so that the time for contact begins anew. */
  @Test
  void newLifetimeBeginsAnew() {
    send(1, 0, true);
    send(1, 9_000, true);
    lifetime = "i-5-1";
    for (int i = 0; i < 20; i++) {
      send(1, 10_000 + 100L * i, true);
    }
    assertEquals(0, new StatedLimitCheck().judge(history).violations().size());
    for (int i = 0; i < 20; i++) {
      send(1, 14_000 + 100L * i, true);
    }
    assertEquals(9, new StatedLimitCheck().judge(history).violations().size());
  }
}
