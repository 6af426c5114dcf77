package io.jacinthquay.runtime.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ClockReadingTest {
  private static final long MILLI = 1_000_000L;

  @ParameterizedTest
  @CsvSource({
    "0, 0, true",
    "5000, 5000, true",
    "5000, 5100, true",
    "5000, 4900, true",
    "5000, 5101, false",
    "5000, 4899, false",
    "10, 3010, false",
    "10, -2990, false",
  })
  void tellWhetherTheClocksPassedTheSameTime(long monotonic, long wall, boolean agree) {
    ClockReading before = new ClockReading(7 * MILLI, 1_000_000);
    ClockReading later = new ClockReading((7 + monotonic) * MILLI, 1_000_000 + wall);
    assertEquals(agree, before.agreesWith(later));
  }
}
