package io.jacinthquay.runtime.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that a suspension or a clock step beyond the tolerance is detected. */
final class ClockReadingTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  @ParameterizedTest
  @CsvSource({
    "0, 0, true, 0",
    "5000, 5000, true, 0",
    "5000, 5100, true, 0",
    "5000, 4900, true, 0",
    "5000, 5101, false, 101",
    "5000, 4899, false, 0",
    "10, 3010, false, 3000",
    "10, -2990, false, 0",
  })
  void agreesOnlyIfBothClocksAdvancedEqually(
      long monotonicMillis, long wallMillis, boolean agree, long suspendedMillis) {
    ClockReading before = new ClockReading(7 * NANOS_PER_MILLI, 1_000_000);
    ClockReading later =
        new ClockReading((7 + monotonicMillis) * NANOS_PER_MILLI, 1_000_000 + wallMillis);
    assertEquals(agree, before.agreesWith(later));
    assertEquals(suspendedMillis * NANOS_PER_MILLI, before.nanosSuspendedUntil(later));
  }
}
