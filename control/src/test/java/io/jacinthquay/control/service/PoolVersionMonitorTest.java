package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.time.ClockReading;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which version a leader names for streams that it does not know. */
final class PoolVersionMonitorTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final PoolName POOL = new PoolName("p");
  private static final long HOUR_MILLIS = 3_600_000L;

  private final ControlState state = new ControlState();
  private final ImmediateLog log = new ImmediateLog(state);
  private long nowMillis = 5_000;
  private long suspendedMillis;
  private final UpstreamListCache list =
      new UpstreamListCache(
          0, () -> new ClockReading(nowMillis * NANOS_PER_MILLI, nowMillis + suspendedMillis));
  private long wallStepMillis = HOUR_MILLIS;
  private final PoolVersionMonitor monitor = monitor(state);

  private PoolVersionMonitor monitor(ControlState replica) {
    return new PoolVersionMonitor(
        new ControlStore(log, replica, 0),
        list,
        () -> nowMillis * NANOS_PER_MILLI,
        () -> nowMillis + wallStepMillis);
  }

  private static List<UpstreamListing> listings(String pool, String versions) {
    List<UpstreamListing> listings = new ArrayList<>();
    for (String version : versions.isEmpty() ? new String[0] : versions.split(" ")) {
      listings.add(
          new UpstreamListing(
              new UpstreamId(pool + version),
              new PoolName(pool),
              new DomainId("a"),
              InetSocketAddress.createUnresolved("h", 1),
              version.endsWith("-draining"),
              false,
              8,
              0,
              new SoftwareVersion(version.replace("-draining", ""))));
    }
    return listings;
  }

  /** Lists the versions of the pool, separated by a space, beside another pool. */
  private void poll(String versions) {
    List<UpstreamListing> all = new ArrayList<>(listings("other", "w1 w2"));
    all.addAll(listings(POOL.value(), versions));
    list.update(all, nowMillis * NANOS_PER_MILLI, nowMillis * NANOS_PER_MILLI);
    monitor.propose();
    monitor.observe();
  }

  /** Plays changes, each as versions and the seconds that they stay in force. */
  private void play(String changes) {
    monitor.observe();
    for (String change : changes.split(";")) {
      String[] parts = change.strip().split(":");
      for (int second = 0; second < Integer.parseInt(parts[1]); second++) {
        poll(parts[0]);
        nowMillis += 1_000;
      }
      poll(parts[0]);
    }
  }

  private String only() {
    return only(monitor);
  }

  private static String only(PoolVersionMonitor asked) {
    return asked.onlyVersion(POOL).map(SoftwareVersion::value).orElse("none");
  }

  /** A stream of a version that had just left went on at the version that was left. */
  @ParameterizedTest
  @CsvSource({
    "v1:0, v1",
    "v1:90, v1",
    "v1 v2:90, none",
    "v1 v1-draining:90, v1",
    "v1 v2-draining:90, none",
    "v1:90; v1 v2:5, none",
    "v1:90; v1 v2:5; v2:10, none",
    "v1:90; v1 v2:5; v2:71, none",
    "v1:90; v1 v2:5; v2:72, v2",
    "v1:90; v1 v2:5; v1:71, none",
    "v1:90; v1 v2:5; v1:72, v1",
    "v1:90; v2:69, none",
    "v1:90; v2:70, v2",
    "v1:90; :5, none",
    "v1:90; :5; v1:0, v1",
    "v1:90; :5; v2:20, none",
    "v1:90; :80; v2:0, v2",
    "v1:9; v2:1; v3:1; v4:1; v3:1; v2:1; v3:1; v4:1; v3:1; v2:1; v3:1; v4:1; v5:1; v6:55, none"
  })
  void namesTheOnlyVersionOfAPool(String changes, String expected) {
    play(changes);
    assertEquals(expected, only());
  }

  /** A list that lacked entries for a moment must not fill the log. */
  @ParameterizedTest
  @CsvSource({
    "v1:20, 1",
    "v1:20; v1 v2:20, 2",
    "v1:20; v1 v2:20; v2:1, 2",
    "v1:20; v1 v2:20; v2:2, 3",
    "v1 v2:20; v2:1; v1 v2:1; v1:1; v1 v2:1; :1; v1 v2:9, 1"
  })
  void recordsOnlyChangesThatLast(String changes, int expected) {
    int changesOfTheOtherPool = 1;
    play(changes);
    assertEquals(expected + changesOfTheOtherPool, log.status().commitIndex());
  }

  /** A step of all clocks made a short time long. */
  @ParameterizedTest
  @CsvSource({"3600000", "-3600000"})
  void stepOfTheTimeOfDayLeavesTheTimeSinceAChange(long step) {
    play("v1:90; v2:10");
    wallStepMillis += step;
    assertEquals("none", only());
    play("v2:60");
    assertEquals("v2", only());
  }

  /** A VM that has just started knows only the time of day of a change. */
  @ParameterizedTest
  @CsvSource({"10, none", "69, none", "70, v2"})
  void restartedVmTakesTheTimeOfDay(int seconds, String expected) throws IOException {
    play("v1:90; v2:" + seconds);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    state.snapshot().writeTo(out);
    ControlState restored = new ControlState();
    restored.restore(log.status().commitIndex(), new ByteArrayInputStream(out.toByteArray()));
    assertEquals(state.tables().poolVersions(), restored.tables().poolVersions());
    nowMillis -= 1_000_000;
    wallStepMillis += 1_000_000;
    assertEquals(expected, only(monitor(restored)));
  }

  /** The list may lack a version that other VMs have seen since. */
  @ParameterizedTest
  @CsvSource({"1199, 0, v1", "1200, 0, none", "4999, 0, none", "9, 1190, v1", "9, 1191, none"})
  void oldListNamesNoVersion(long ageMillis, long suspended, String expected) {
    play("v1:1");
    nowMillis += ageMillis;
    suspendedMillis += suspended;
    assertEquals(expected, only());
  }
}
