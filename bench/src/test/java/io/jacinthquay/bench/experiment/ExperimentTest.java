package io.jacinthquay.bench.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.bench.report.RunResult;
import io.jacinthquay.bench.report.SvgPlot;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExperimentTest {
  private static RunResult run(Scenario scenario, Strategy strategy, long seed) {
    return new Experiment(scenario, strategy, 9, 12, 20, scenario.load(), seed).run();
  }

  @Test
  void sameSeedGivesTheSameResult() {
    RunResult first = run(Scenario.RECLAIM, Strategy.JACINTHQUAY, 3);
    assertEquals(first, run(Scenario.RECLAIM, Strategy.JACINTHQUAY, 3));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void placementByExpectedWaitAvoidsAStraggler(long seed) {
    double placed = run(Scenario.STRAGGLER, Strategy.EXPECTED_WAIT, seed).p95FirstTokenMs();
    double roundRobin = run(Scenario.STRAGGLER, Strategy.ROUND_ROBIN, seed).p95FirstTokenMs();
    double leastInFlight =
        run(Scenario.STRAGGLER, Strategy.LEAST_IN_FLIGHT, seed).p95FirstTokenMs();
    assertTrue(placed <= roundRobin / 2, placed + " ms against round-robin's " + roundRobin);
    assertTrue(placed < leastInFlight, placed + " ms against least-in-flight's " + leastInFlight);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void placementUsesMostCachedPrefixes(long seed) {
    double hitShare = run(Scenario.PREFIX, Strategy.EXPECTED_WAIT, seed).prefixHitShare();
    double ideal = run(Scenario.PREFIX, Strategy.IDEAL_CACHE, seed).prefixHitShare();
    assertTrue(hitShare >= 0.8 * ideal, hitShare + " of an ideal " + ideal);
  }

  /**
   * Guards against a failure of the review of waiting requests: moving one request can free the
   * slot for another that the same round has yet to review.
   */
  @ParameterizedTest
  @ValueSource(longs = {90071, 90072, 90073})
  void reviewSkipsRequestsThatItsOwnMovesHaveReleased(long seed) {
    RunResult result =
        new Experiment(
                Scenario.STRAGGLER,
                Strategy.JACINTHQUAY,
                9,
                12,
                60,
                Scenario.STRAGGLER.load(),
                seed)
            .run();
    assertTrue(result.attainment() > 0, "no request met its targets");
  }

  @Test
  void plotContainsEveryStrategy() {
    List<RunResult> results =
        List.of(run(Scenario.CALM, Strategy.RANDOM, 1), run(Scenario.CALM, Strategy.FIRST_COME, 1));
    String svg = SvgPlot.draw(results);
    assertTrue(svg.contains("random") && svg.contains("first-come") && svg.endsWith("</svg>\n"));
  }
}
