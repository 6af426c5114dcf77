package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.time.ClockReading;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class PoolVersionRunsTest {
  private static final PoolName POOL = new PoolName("p");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private ClockReading now = new ClockReading(0, 0);
  private final PoolVersionRuns runs = new PoolVersionRuns(() -> now);

  static UpstreamListing listing(String version) {
    return new UpstreamListing(
        new UpstreamId("u-" + version),
        POOL,
        new DomainId("a"),
        InetSocketAddress.createUnresolved("h", 1),
        false,
        false,
        8,
        0,
        new SoftwareVersion(version));
  }

  /**
   * Takes a list polled at a time, as in 400:v1+v2, what a leader says, as in 400!v1, or a
   * suspension before the next step, as in 400~5000.
   */
  private void run(String step) {
    String[] parts = step.split("[:!~]");
    long millis = Long.parseLong(parts[0]);
    long nanos = millis * NANOS_PER_MILLI;
    long passedMillis = Math.max(0, millis - now.nanos() / NANOS_PER_MILLI);
    now =
        new ClockReading(
            now.nanos() + passedMillis * NANOS_PER_MILLI, now.wallMillis() + passedMillis);
    if (step.contains("~")) {
      now = new ClockReading(now.nanos(), now.wallMillis() + Long.parseLong(parts[1]));
    } else if (step.contains("!")) {
      Optional<SoftwareVersion> only =
          Optional.of(parts[1]).filter(v -> !v.equals("none")).map(SoftwareVersion::new);
      runs.recordLeader(POOL, only, nanos);
    } else {
      runs.record(
          Stream.of(parts[1].split("\\+"))
              .filter(v -> !v.equals("none"))
              .map(PoolVersionRunsTest::listing)
              .toList(),
          nanos,
          nanos);
    }
  }

  /** A stream must not go on at a version that may not have begun it, whatever nobody saw. */
  @ParameterizedTest
  @CsvSource({
    // steps, asked at; version
    "0:v1 100!v1 800:v1 1600:v1, 600, v1",
    "0:v1 100!v1 800:v1 1600:v1, 601,",
    "0:v1 800:v1 1600:v1, 600,",
    "0:v1 100!none 800:v1 1600:v1, 600,",
    "0:v1 100!v2 800:v1 1600:v1, 600,",
    "100:v1 100!v1 800:v1 1600:v1, 600,",
    "0:v1 100!v1 200!none 800:v1 1600:v1, 600,",
    // The router was cut off or paused, for longer than another version may be listed unseen.
    "0:v1 100!v1 1200:v1, 200, v1",
    "0:v1 100!v1 1201:v1, 200,",
    "0:v1 100!v1 1201:v1 1300!v1 2400:v1, 600, v1",
    // The router was suspended; a list may have been polled before.
    "0:v1 100!v1 800:v1 900~5000 1600:v1, 600,",
    "0:v1 100!v1 800:v1 900~-5000 1600:v1, 600,",
    "0:v1 100!v1 800:v1 900~5000 900!v1 1600:v1, 600,",
    "0:v1 100!v1 800:v1 1000~5000 900:v1 1100!v1 2000:v1 2100:v1, 1000,",
    "0:v1 100~5000 300:v1 400:v1 500!v1 900:v1 1600:v1, 600, v1",
    // The pool was not listed.
    "0:v1 100!v1 800:none 1600:v1, 600,",
    "1000:v1 1100!v1 900:none 2200:v1, 1200, v1",
    // Another version was listed, and left.
    "0:v1 100!v1 800:v1 1600:v1+v2, 600,",
    "0:v1 100!v1 800:v1 1600:v2, 600,",
    "0:v1 100!v1 800:v1+v2 1600:v1, 600,",
    "0:v1 100!v1 800:v2 1600:v1, 600,",
    // A later list came first.
    "0:v1 100!v1 800:v1 1600:v1 1500:v2, 600,",
    "1000:v1 1100!v1 900:v2 2200:v1, 1200, v1",
    // The next leader has not seen the other version.
    "0:v1 100!v1 800:v1+v2 1600:v1 1700!v1 2800:v1, 1800,",
    "0:v2 69990:v1 69999!v1 71100:v1, 70100,",
    "1:v2 69999:v1 70000!v1 71100:v1, 70100,",
    "0:v2 69999:v1 70000!v1 71100:v1, 70100, v1",
  })
  void onlyAVersionThatBeganEveryStreamIsNamed(String steps, long askedMillis, String version) {
    Stream.of(steps.split(" ")).forEach(this::run);
    assertEquals(
        Optional.ofNullable(version).map(SoftwareVersion::new),
        runs.onlyVersion(POOL, askedMillis * NANOS_PER_MILLI));
  }

  /** Each router asked the leader every second, for good, about a pool that had been removed. */
  @ParameterizedTest
  @CsvSource({"0:v1 800:v1, 1", "0:v1 100!v1, 0", "0:v1 800:none, 0", "800:v1 0:none, 1"})
  void removedPoolIsNotAskedFor(String steps, int unconfirmed) {
    Stream.of(steps.split(" ")).forEach(this::run);
    assertEquals(unconfirmed, runs.unconfirmed().size());
  }
}
