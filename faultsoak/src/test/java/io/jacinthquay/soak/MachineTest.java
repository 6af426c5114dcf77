package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MachineTest {
  @ParameterizedTest
  @CsvSource({"8, 40", "24, 122", "512, 290"})
  void programsTakeHalfOfTheMemoryAtMost(long gibibytes, int programs) {
    assertEquals(programs, Machine.mostPrograms(gibibytes << 30));
  }
}
