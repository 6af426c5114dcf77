package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.UpstreamDirectory;
import io.jacinthquay.router.service.forward.ForwardMetrics;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against routers that all read the platform's list at once, or read it although a control
 * VM has a recent one.
 */
final class ListPollerTest {
  private static final long INTERVAL_MILLIS = 1_500;
  private static final int ROUTERS = 64;

  private final List<Integer> readers = new ArrayList<>();
  private final ListInForce list = new ListInForce(listings -> {}, new PoolVersionRuns());
  private long monitorNanos;
  private final ControlLinkMonitor monitor =
      new ControlLinkMonitor(new ForwardMetrics(), list, () -> monitorNanos);
  private Either<Failure, List<UpstreamListing>> result = Either.right(List.of());
  private int reads;

  private ListPoller poller(long seed) {
    UpstreamDirectory directory =
        new UpstreamDirectory() {
          @Override
          public Either<Failure, List<UpstreamListing>> listUpstreams() {
            reads++;
            return result;
          }

          @Override
          public Duration leastListInterval(int count, int upstreams) {
            readers.add(count);
            return Duration.ofMillis(INTERVAL_MILLIS);
          }
        };
    return new ListPoller(directory, list, monitor, () -> ROUTERS, new SplittableRandom(seed));
  }

  /** Records a view of the leader, whose list is of an age now. */
  private void hearLeader(long listAgeMillis) {
    ControlViewMessage view = new ControlViewMessage();
    view.setLeads(true);
    view.setMembers(List.of("vm"));
    monitor.recordView("vm", view, 1, 1);
    recordList(ListInForce.Source.LEADER, listAgeMillis);
  }

  private void recordList(ListInForce.Source source, long ageMillis) {
    long now = System.nanoTime();
    list.record(
        new ListInForce.Answer(
            source.name(), source, 1, Optional.of(List.of()), ageMillis, now, now));
  }

  private void passMillis(long millis) {
    monitorNanos += millis * 1_000_000;
  }

  @Test
  void readsNothingBeforeALeaderWasHeard() {
    ListPoller poller = poller(1);
    passMillis(60_000);
    poller.step();
    poller.step();
    assertEquals(0, reads);
  }

  /** The age of the list, and the time without a view. */
  @ParameterizedTest
  @CsvSource({"2000, 999, 0", "0, 5000, 0", "2000, 1000, 1"})
  void readsOnlyWithoutAViewAndARecentList(long listAgeMillis, long silentMillis, int expected) {
    ListPoller poller = poller(1);
    hearLeader(listAgeMillis);
    passMillis(silentMillis);
    poller.step();
    poller.step();
    assertEquals(expected, reads);
  }

  @Test
  void goesOnUntilAControlVmHasARecentList() {
    ListPoller poller = poller(1);
    hearLeader(2_000);
    passMillis(1_000);
    poller.step();
    for (int i = 0; i < 3; i++) {
      long delay = poller.step();
      assertTrue(delay >= INTERVAL_MILLIS && delay <= 1.1 * INTERVAL_MILLIS, delay + " ms");
    }
    assertEquals(3, reads);
    assertEquals(ROUTERS, readers.get(0));
    recordList(ListInForce.Source.OTHER_VM, -10);
    poller.step();
    assertEquals(3, reads);
    assertEquals(ListInForce.Source.OTHER_VM, list.source());
  }

  @Test
  void firstReadsOfAllRoutersAreSpreadOverTheInterval() {
    hearLeader(2_000);
    passMillis(1_000);
    int early = 0;
    for (int i = 0; i < ROUTERS; i++) {
      long delay = poller(i).step();
      assertTrue(delay >= 0 && delay < INTERVAL_MILLIS, delay + " ms");
      early += delay < INTERVAL_MILLIS / 2 ? 1 : 0;
    }
    assertTrue(early > ROUTERS / 4 && early < 3 * ROUTERS / 4, early + " routers");
    assertEquals(0, reads);
  }

  @Test
  void failuresBackOff() {
    result = Either.left(Failure.of(ResultCode.UPSTREAM_BROKE, "status 429"));
    ListPoller poller = poller(1);
    hearLeader(2_000);
    passMillis(1_000);
    poller.step();
    assertTrue(poller.step() >= 2 * INTERVAL_MILLIS);
    assertTrue(poller.step() >= 4 * INTERVAL_MILLIS);
    for (int i = 0; i < 40; i++) {
      assertEquals(6_000, poller.step());
    }
    result = Either.right(List.of());
    assertTrue(poller.step() <= 1.1 * INTERVAL_MILLIS);
  }
}
