package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short run of the soak with the programs of the current build. */
final class SoakTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  @ParameterizedTest
  @ValueSource(longs = {12})
  void guaranteesHoldUnderFaults(long seed) throws Exception {
    SoakReport report =
        run(SoakPlan.withDefaults(seed, Duration.ofSeconds(30), 4, 3, 6, 24, FaultKind.all()));
    assertEquals(List.of(), report.violations(), report.text());
  }

  /** Take-ups of streams went on at another version than the one that began them. */
  @ParameterizedTest
  @ValueSource(longs = {57})
  void streamsAreOfOneVersion(long seed) throws Exception {
    Set<FaultKind> faults =
        EnumSet.of(FaultKind.UPSTREAM_RELEASED, FaultKind.ROUTERS_KILLED, FaultKind.CALLERS_RESET);
    SoakReport report =
        run(SoakPlan.withDefaults(seed, Duration.ofSeconds(12), 4, 3, 12, 24, faults));
    assertEquals(List.of(), report.violations(), report.text());
  }

  private static SoakReport run(SoakPlan plan) throws Exception {
    Path folder = ROOT.resolve("target/soak-logs/test-seed-" + plan.seed());
    return new SoakRun(ROOT, folder, plan, progress -> {}).run();
  }
}
