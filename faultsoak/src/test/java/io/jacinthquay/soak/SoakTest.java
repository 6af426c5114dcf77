package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short run of the soak with the programs of the current build. */
final class SoakTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  @ParameterizedTest
  @ValueSource(longs = {12})
  void guaranteesHoldUnderFaults(long seed) throws Exception {
    SoakPlan plan =
        SoakPlan.withDefaults(seed, Duration.ofSeconds(30), 4, 3, 6, 24, FaultKind.all());
    Path folder = ROOT.resolve("target/soak-logs/test-seed-" + seed);
    SoakReport report = new SoakRun(ROOT, folder, plan, progress -> {}).run();
    assertEquals(List.of(), report.violations(), report.text());
  }
}
