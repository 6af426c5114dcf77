package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.control.FakeFleet;
import io.jacinthquay.control.port.LeaderLease;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.CustomerCountMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class UsageReporterTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final Duration WINDOW = Duration.ofSeconds(5);

  /** The window from 35 s to 40 s. */
  private static final long EIGHTH_WINDOW = 7;

  private final ControlState state = new ControlState();
  private final ControlStore store = new ControlStore(new ImmediateLog(state), state, 0);
  private final FakeFleet fleet = new FakeFleet();
  private final LeaderLease lease = new LeaderLease("vm-1", 3, () -> true);
  private long millis;
  private final RouterRegistry routers = new RouterRegistry(() -> millis * NANOS_PER_MILLI);
  private final UsageReporter reporter = new UsageReporter(WINDOW, store, routers, fleet);

  private void reportCounts(String router, long atMillis, long requests) {
    reportCounts(router, atMillis, EIGHTH_WINDOW, requests);
  }

  private void reportCounts(String router, long atMillis, long window, long requests) {
    millis = atMillis;
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter(router);
    report.setIncarnation(1);
    report.setLoads(List.of());
    report.setCounts(List.of(new CustomerCountMessage(window, "c", requests)));
    report.setDemand(new ArrayList<>());
    routers.recordReport(report, "");
  }

  private List<Long> countsReportedAt(long atMillis) {
    millis = atMillis;
    reporter.run(lease, atMillis);
    return fleet.reports().stream()
        .map(FakeFleet.Report::counts)
        .map((Map<CustomerId, Long> counts) -> counts.get(new CustomerId("c")))
        .toList();
  }

  @Test
  void reportsAWindowOnceAllRoutersHaveReported() {
    reportCounts("a", 41_500, 20);
    reportCounts("b", 41_500, 20);
    assertEquals(List.of(), countsReportedAt(42_400));
    assertEquals(List.of(40L), countsReportedAt(42_500));
  }

  /** A router that is disconnected at the end of a window reports its counts late. */
  @Test
  void sealsNothingWhileCountsOfASilentRouterMayArrive() {
    reportCounts("a", 37_000, 8);
    reportCounts("b", 37_000, 8);
    reportCounts("a", 42_400, 20);
    assertEquals(List.of(), countsReportedAt(42_500));
    reportCounts("b", 42_900, 20);
    assertEquals(List.of(40L), countsReportedAt(43_000));
  }

  /** A window that the platform always rejects must not hold up the windows after it. */
  @Test
  void reportsLaterWindowsDespiteARejectedOne() {
    fleet.rejectWindow(EIGHTH_WINDOW);
    for (long window = EIGHTH_WINDOW; window < EIGHTH_WINDOW + 6; window++) {
      long end = (window + 1) * WINDOW.toMillis();
      reportCounts("a", end + 2_000, window, 10);
      countsReportedAt(end + 2_500);
      countsReportedAt(end + 3_000);
    }
    List<Long> windows = fleet.reports().stream().map(FakeFleet.Report::window).toList();
    assertEquals(List.of(7L, 8L, 7L, 9L, 7L, 10L, 7L, 11L, 12L), windows);
  }

  /**
   * The outcome of a report without a response is unknown, and a later report would get no response
   * either.
   */
  @Test
  void holdsLaterWindowsWhileThePlatformDoesNotRespond() {
    fleet.setResult(Either.left(Failure.of(ResultCode.UPSTREAM_TIMEOUT, "no response")));
    reportCounts("a", 42_000, EIGHTH_WINDOW, 10);
    countsReportedAt(42_500);
    reportCounts("a", 47_000, EIGHTH_WINDOW + 1, 10);
    countsReportedAt(47_500);
    fleet.setResult(Either.right(null));
    countsReportedAt(48_000);
    List<Long> windows = fleet.reports().stream().map(FakeFleet.Report::window).toList();
    assertEquals(List.of(7L, 7L, 7L, 8L), windows);
  }

  @Test
  void reportsWithoutARouterThatStaysSilent() {
    reportCounts("b", 38_000, 8);
    reportCounts("a", 43_900, 20);
    assertEquals(List.of(), countsReportedAt(43_990));
    assertEquals(List.of(28L), countsReportedAt(46_500));
  }
}
