package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.control.FakeFleet;
import io.jacinthquay.control.port.Fence;
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

final class UsageDutyTest {
  private static final long MILLI = 1_000_000L;
  private static final Duration WINDOW = Duration.ofSeconds(5);

  /** The window from 35 s to 40 s. */
  private static final long EIGHTH = 7;

  private final ControlState state = new ControlState();
  private final ControlStore store = new ControlStore(new AtOnceLog(state), state, 0);
  private final FakeFleet fleet = new FakeFleet();
  private final Fence fence = new Fence("vm-1", 3, () -> true);
  private long millis;
  private final RouterRegistry routers = new RouterRegistry(() -> millis * MILLI);
  private final UsageDuty duty = new UsageDuty(WINDOW, store, routers, fleet);

  private void tell(String router, long atMillis, long counted) {
    tell(router, atMillis, EIGHTH, counted);
  }

  private void tell(String router, long atMillis, long window, long counted) {
    millis = atMillis;
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter(router);
    report.setIncarnation(1);
    report.setLoads(List.of());
    report.setCounts(List.of(new CustomerCountMessage(window, "c", counted)));
    report.setDemand(new ArrayList<>());
    routers.heard(report, "");
  }

  private List<Long> reportedAt(long atMillis) {
    millis = atMillis;
    duty.run(fence, atMillis);
    return fleet.reports().stream()
        .map(FakeFleet.Report::counts)
        .map((Map<CustomerId, Long> counts) -> counts.get(new CustomerId("c")))
        .toList();
  }

  @Test
  void reportAWindowOnceAllRoutersHaveTold() {
    tell("a", 41_500, 20);
    tell("b", 41_500, 20);
    assertEquals(List.of(), reportedAt(42_400));
    assertEquals(List.of(40L), reportedAt(42_500));
  }

  /** A router that is cut off over the end of a window comes back with its counts. */
  @Test
  void sealNothingWhileCountsOfASilentRouterMayArrive() {
    tell("a", 37_000, 8);
    tell("b", 37_000, 8);
    tell("a", 42_400, 20);
    assertEquals(List.of(), reportedAt(42_500));
    tell("b", 42_900, 20);
    assertEquals(List.of(40L), reportedAt(43_000));
  }

  /** A window that the platform takes from nobody must not keep back those after it. */
  @Test
  void reportLaterWindowsBesideOneThatIsRefused() {
    fleet.refuse(EIGHTH);
    for (long window = EIGHTH; window < EIGHTH + 6; window++) {
      long end = (window + 1) * WINDOW.toMillis();
      tell("a", end + 2_000, window, 10);
      reportedAt(end + 2_500);
      reportedAt(end + 3_000);
    }
    List<Long> windows = fleet.reports().stream().map(FakeFleet.Report::window).toList();
    assertEquals(List.of(7L, 8L, 7L, 9L, 7L, 10L, 7L, 11L, 12L), windows);
  }

  /** Nothing is known of a report that got no answer, and the next would get none either. */
  @Test
  void waitWithLaterWindowsWhileThePlatformDoesNotAnswer() {
    fleet.answer(Either.left(Failure.of(ResultCode.UPSTREAM_TIMEOUT, "no answer")));
    tell("a", 42_000, EIGHTH, 10);
    reportedAt(42_500);
    tell("a", 47_000, EIGHTH + 1, 10);
    reportedAt(47_500);
    fleet.answer(Either.right(null));
    reportedAt(48_000);
    List<Long> windows = fleet.reports().stream().map(FakeFleet.Report::window).toList();
    assertEquals(List.of(7L, 7L, 7L, 8L), windows);
  }

  @Test
  void reportWithoutARouterThatStaysSilent() {
    tell("b", 38_000, 8);
    tell("a", 43_900, 20);
    assertEquals(List.of(), reportedAt(43_990));
    assertEquals(List.of(28L), reportedAt(46_500));
  }
}
