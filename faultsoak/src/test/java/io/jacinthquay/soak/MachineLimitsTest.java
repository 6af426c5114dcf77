package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MachineLimitsTest {
  @ParameterizedTest
  @CsvSource({"8, 40", "24, 122", "512, 290"})
  void programsUseAtMostHalfOfTheMemory(long gibibytes, int programs) {
    assertEquals(programs, MachineLimits.maxPrograms(gibibytes << 30));
  }
}
