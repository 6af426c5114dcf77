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
  void aSeedGivesTheSameRunAgain() {
    RunResult first = run(Scenario.RECLAIM, Strategy.JACINTHQUAY, 3);
    assertEquals(first, run(Scenario.RECLAIM, Strategy.JACINTHQUAY, 3));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void placementKeepsAStragglerOutOfTheTail(long seed) {
    double placed = run(Scenario.STRAGGLER, Strategy.EXPECTED_WAIT, seed).p95FirstTokenMs();
    double roundRobin = run(Scenario.STRAGGLER, Strategy.ROUND_ROBIN, seed).p95FirstTokenMs();
    double least = run(Scenario.STRAGGLER, Strategy.LEAST_IN_FLIGHT, seed).p95FirstTokenMs();
    assertTrue(placed <= roundRobin / 2, placed + " ms against round-robin's " + roundRobin);
    assertTrue(placed < least, placed + " ms against least-in-flight's " + least);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void placementFindsMostOfWhatCachesHold(long seed) {
    double found = run(Scenario.PREFIX, Strategy.EXPECTED_WAIT, seed).prefixHitShare();
    double ideal = run(Scenario.PREFIX, Strategy.IDEAL_CACHE, seed).prefixHitShare();
    assertTrue(found >= 0.8 * ideal, found + " of an ideal " + ideal);
  }

  /**
   * A move of one waiting request frees the place of another that is looked at in the same round.
   */
  @ParameterizedTest
  @ValueSource(longs = {90071, 90072, 90073})
  void reviewOfWaitingRequestsBearsThatOneGoesMeanwhile(long seed) {
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
    assertTrue(result.attainment() > 0, "nothing was served");
  }

  @Test
  void plotHoldsEveryStrategy() {
    List<RunResult> results =
        List.of(run(Scenario.CALM, Strategy.RANDOM, 1), run(Scenario.CALM, Strategy.FIRST_COME, 1));
    String svg = SvgPlot.draw(results);
    assertTrue(svg.contains("random") && svg.contains("first-come") && svg.endsWith("</svg>\n"));
  }
}
