package io.jacinthquay.decision.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.origin.OriginTable.Result;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OriginTableTest {
  private static final int CAPACITY = 6;
  private static final int CAPACITY_PER_SOURCE = 4;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Near the overflow of the monotonic clock, whose zero is arbitrary. */
  private long now = Long.MAX_VALUE - 30_000 * NANOS_PER_MILLI;

  private final OriginTable table = new OriginTable(CAPACITY, CAPACITY_PER_SOURCE, now);

  private static StreamOrigin origin(String attempt, String version) {
    return new StreamOrigin(
        StreamId.of(Optional.empty(), attempt), new PoolName("p"), new SoftwareVersion(version));
  }

  private Result record(String attempt, String version, String source, long ageMillis) {
    return table.record(origin(attempt, version), source, ageMillis, now);
  }

  private String version(String attempt) {
    return table
        .find(StreamId.of(Optional.empty(), attempt), now)
        .map(aged -> aged.origin().version().value())
        .orElse("none");
  }

  @ParameterizedTest
  @CsvSource({
    "0, 0, v1",
    "0, 59999, v1",
    "0, 60000, none",
    "50000, 9999, v1",
    "50000, 10000, none",
    "60000, 0, none",
    "-5, 59999, v1"
  })
  void forgetsStreamsThatCallersCannotTakeUpAnyMore(
      long ageMillis, long laterMillis, String expected) {
    record("a", "v1", "r", ageMillis);
    now += laterMillis * NANOS_PER_MILLI;
    assertEquals(expected, version("a"));
  }

  /** A flood of new streams pushed out those whose callers were still reading. */
  @Test
  void floodOfStreamsKeepsTheEarlierOnes() {
    record("a", "v1", "r1", 0);
    for (int i = 0; i < 100; i++) {
      record("flood-" + i, "v2", "r2", 0);
    }
    assertEquals("v1", version("a"));
    assertEquals(1 + CAPACITY_PER_SOURCE, table.size());
    assertEquals(Result.FULL, record("b", "v2", "r2", 0));
    assertEquals(Result.RECORDED, record("b", "v2", "r1", 0));
    assertEquals(Result.FULL, record("c", "v2", "r3", 0));
  }

  @Test
  void hasRoomAgainOnceStreamsHaveEnded() {
    for (int i = 0; i < CAPACITY_PER_SOURCE; i++) {
      record("a" + i, "v1", "r", 30_000);
    }
    assertEquals(Result.FULL, record("b", "v2", "r", 0));
    now += 30_000 * NANOS_PER_MILLI;
    assertEquals(Result.RECORDED, record("b", "v2", "r", 0));
    assertEquals(1, table.size());
  }

  /** Each record to a full table went through all streams, under the lock of the table. */
  @ParameterizedTest
  @CsvSource({"99, FULL", "100, RECORDED"})
  void fullTableIsSweptOnceInAWhile(long afterMillis, Result expected) {
    for (int i = 0; i < CAPACITY_PER_SOURCE; i++) {
      record("a" + i, "v1", "r", 59_980);
    }
    now += 19 * NANOS_PER_MILLI;
    table.streams(now);
    now += afterMillis * NANOS_PER_MILLI;
    assertEquals(expected, record("b", "v1", "r", 0));
  }

  /** A stream went on at the version of another one to which a caller had given the same id. */
  @ParameterizedTest
  @CsvSource({
    "10, v2, RECORDED, none, 2",
    "3, v2, RECORDED, none, 2",
    "3, v1, UNCHANGED, v1, 1",
    "60000, v2, UNCHANGED, v1, 1"
  })
  void streamOfTwoVersionsIsNotKnown(
      long ageMillis, String version, Result result, String expected, int reported) {
    record("a", "v1", "r1", 5);
    assertEquals(result, record("a", version, "r2", ageMillis));
    assertEquals(Result.UNCHANGED, record("a", version, "r2", ageMillis));
    assertEquals(Result.UNCHANGED, record("a", "v1", "r2", ageMillis));
    assertEquals(expected, version("a"));
    assertEquals(reported, table.reported(origin("a", "v1").stream(), now).size());
    assertEquals(1, table.size());
  }

  @Test
  void streamReplacesAnEndedOneOfTheSameId() {
    record("a", "v1", "r1", 59_999);
    now += NANOS_PER_MILLI;
    assertEquals(Result.RECORDED, record("a", "v2", "r2", 0));
    assertEquals("v2", version("a"));
  }
}
