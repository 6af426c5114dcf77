package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.RequestId;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The check reports late requests to an upstream that leaves, and only those. */
final class DrainCheckTest {
  private static final RequestId ID = new RequestId("c1-1");
  private static final int ROUTER = 2;
  private static final int UPSTREAM = 5;

  private final History history = new History();

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void arrive(long atMillis, boolean misdirected) {
    history.add(
        new Call(
            ID,
            CallKind.SAFE,
            ROUTER,
            40_000,
            nanos(atMillis - 100),
            nanos(atMillis + 100),
            Call.Ending.ANSWERED,
            200,
            "",
            2_000));
    history.add(new History.Arrival(ID, UPSTREAM, nanos(atMillis), misdirected));
  }

  private Verdict verdict() {
    return new DrainCheck().judge(history);
  }

  /** The upstream is listed as ready at 0 s, as draining at 1 s and as gone at 5 s. */
  @ParameterizedTest
  @CsvSource({
    "500, false, 0",
    "4000, false, 0",
    "4001, false, 1",
    "6000, false, 1",
    "6000, true, 0"
  })
  void timeRunsFromTheFirstChange(long atMillis, boolean misdirected, int violations) {
    history.add(new History.Listed(UPSTREAM, true, 0));
    history.add(new History.Listed(UPSTREAM, false, nanos(1_000)));
    history.add(new History.Listed(UPSTREAM, false, nanos(5_000)));
    arrive(atMillis, misdirected);
    assertEquals(violations, verdict().violations().size());
  }

  @Test
  void upstreamThatIsListedAgainMayBeUsed() {
    history.add(new History.Listed(UPSTREAM, false, nanos(1_000)));
    history.add(new History.Listed(UPSTREAM, true, nanos(5_000)));
    arrive(6_000, false);
    assertEquals(0, verdict().violations().size());
  }

  @Test
  void otherUpstreamMayBeUsed() {
    history.add(new History.Listed(UPSTREAM + 1, false, nanos(1_000)));
    arrive(6_000, false);
    assertEquals(0, verdict().violations().size());
  }

  static Stream<FaultPeriod> explainingPeriods() {
    return Stream.of(
        new FaultPeriod(FaultKind.PLATFORM_SILENT, 0, nanos(2_000), nanos(4_000)),
        new FaultPeriod(FaultKind.PLATFORM_SILENT, 0, nanos(500), nanos(3_000)),
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER, nanos(2_000), nanos(4_000)),
        new FaultPeriod(FaultKind.UPSTREAM_DELAYED, UPSTREAM, nanos(5_950), nanos(6_500)),
        new FaultPeriod(FaultKind.OBSERVER_STALLED, -1, nanos(5_000), nanos(5_500)));
  }

  /** The upstream is listed as draining at 1 s and reached at 6 s. */
  @ParameterizedTest
  @MethodSource("explainingPeriods")
  void faultExplainsALateRequest(FaultPeriod period) {
    history.add(new History.Listed(UPSTREAM, false, nanos(1_000)));
    arrive(6_000, false);
    history.add(period);
    assertEquals(0, verdict().violations().size());
  }

  static Stream<FaultPeriod> unrelatedPeriods() {
    return Stream.of(
        // Two faults of the platform at the same time stop the time once.
        new FaultPeriod(FaultKind.PLATFORM_SILENT, 0, nanos(2_000), nanos(3_999)),
        new FaultPeriod(FaultKind.PLATFORM_SILENT, 0, nanos(-2_000), nanos(900)),
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER + 1, nanos(2_000), nanos(6_000)),
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER, nanos(1_000), nanos(2_000)),
        new FaultPeriod(FaultKind.CONTROLS_KILLED, -1, nanos(0), nanos(6_000)),
        new FaultPeriod(FaultKind.UPSTREAM_LEAVES, UPSTREAM, nanos(1_000), nanos(9_000)),
        new FaultPeriod(FaultKind.UPSTREAM_DELAYED, UPSTREAM, nanos(2_000), nanos(5_000)));
  }

  @ParameterizedTest
  @MethodSource("unrelatedPeriods")
  void unrelatedFaultDoesNotExplainALateRequest(FaultPeriod period) {
    history.add(new History.Listed(UPSTREAM, false, nanos(1_000)));
    arrive(6_000, false);
    history.add(period);
    history.add(period);
    assertEquals(1, verdict().violations().size());
  }
}
