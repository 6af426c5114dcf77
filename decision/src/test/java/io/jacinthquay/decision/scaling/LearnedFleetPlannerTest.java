package io.jacinthquay.decision.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.DomainId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays of the demand that pools of engines meet, against {@link FleetPlanner}. */
final class LearnedFleetPlannerTest {
  /** Crest of the wave, in tokens per millisecond. */
  private static final double CREST = FleetReplay.wave(17.0 / 4);

  private final FleetReplay learned = FleetReplay.learned();
  private final FleetReplay fixed = FleetReplay.fixed();

  private void play(double from, double to) {
    learned.play(from, to);
    fixed.play(from, to);
  }

  private String figures() {
    return "learned: " + learned + "; fixed: " + fixed;
  }

  private void assertServes(double overloadedSeconds, double priceRatio) {
    assertTrue(learned.overloadedSeconds <= overloadedSeconds, figures());
    assertTrue(learned.price <= priceRatio * fixed.price, figures());
  }

  /** Guards against a fleet of fixed figures, and against one that follows a wave down. */
  @Test
  void costLessInAWaveWithoutMissingTheCrest() {
    play(0, 60);
    assertServes(0, 1);
    play(60, 180);
    assertServes(0, 0.65);
    assertTrue(learned.orders <= 10, figures());
  }

  /** Guards against a burst that ends before the pool has grown. */
  @ParameterizedTest
  @CsvSource({"80, 5", "80, 9", "89, 7"})
  void growInABurst(double from, double seconds) {
    learned.demand = t -> FleetReplay.wave(t) * (t >= from && t < from + seconds ? 2.4 : 1);
    fixed.demand = learned.demand;
    play(0, from - 2);
    play(from - 2, from + 30);
    // An engine serves 4 s after it is ordered, and the burst must be noticed first.
    assertServes(5, 0.7);
  }

  /** Guards against a fleet that doesn't carry the load when a domain loses its cheap engines. */
  @ParameterizedTest
  @ValueSource(strings = {"a", "b", "c"})
  void carryTheLoadWhenADomainIsReclaimed(String domain) {
    learned.reclaimed = new DomainId(domain);
    fixed.reclaimed = learned.reclaimed;
    // The crest of the wave is at 89 s.
    learned.reclaimedAt = 88;
    fixed.reclaimedAt = 88;
    play(0, 88);
    play(88, 108);
    assertServes(0, 0.9);
    assertTrue(learned.refusals <= 3, learned.refusals + " refusals");
  }

  /** Guards against a domain of fast engines that serves nearly everything. */
  @Test
  void spreadOverUnevenDomains() {
    learned.play(0, 80);
    double all = learned.rate(80);
    for (DomainId domain : List.of(FleetReplay.A, FleetReplay.B, FleetReplay.C)) {
      assertTrue(learned.count(domain) >= 2, learned.toString());
      assertTrue(all - learned.rate(domain) >= CREST / 2, domain + " of " + learned);
    }
    assertTrue(learned.rate(FleetReplay.C) > learned.rate(FleetReplay.B), learned.toString());
  }

  /** Guards against a new leader that takes its first figures, in a trough, for the demand. */
  @ParameterizedTest
  @ValueSource(doubles = {93, 98, 102})
  void keepTheFleetAfterALeaderChange(double seconds) {
    learned.leaderChangedAt = seconds;
    fixed.leaderChangedAt = seconds;
    play(0, seconds);
    int before = learned.total();
    play(seconds, seconds + 4);
    assertEquals(0, learned.orders, figures());
    play(seconds + 4, seconds + 40);
    assertServes(0, 0.7);
    assertTrue(learned.orders <= 6, figures());
    assertTrue(learned.total() > 0.85 * before, before + " before, " + figures());
  }

  /** Guards against engines that become slower, which the pool must make up for. */
  @Test
  void growWhenEnginesBecomeSlower() {
    learned.speed = t -> t < 80 ? 1 : 0.65;
    fixed.speed = learned.speed;
    play(0, 80);
    play(80, 160);
    assertServes(1, 0.85);
  }

  /** Guards against learned rates that are too high, which only callers notice. */
  @Test
  void raiseTheHeadroomWhenAnswersAreLate() {
    learned.overestimate = 2.2;
    learned.requestSeconds = 0.5;
    play(0, 60);
    play(60, 180);
    assertServes(0, 0.8);
    assertTrue(learned.planner().status().headroom() > 1.2, learned.planner().status().toString());
  }

  /** Guards against stopping engines when half of the routers can't reach the leader. */
  @Test
  void keepTheFleetWhileRoutersAreSilent() {
    learned.reporting = t -> t < 80 ? 1 : 0.5;
    learned.play(0, 80);
    int before = learned.total();
    learned.play(80, 95);
    assertEquals(before, learned.total());
    assertEquals(0, learned.orders);
  }

  /** Guards against stopping engines by fixed figures before anything was observed. */
  @Test
  void stopNothingBeforeRatesAreLearned() {
    learned.observedMillis = 0;
    learned.play(0, 60);
    assertEquals(99, learned.total());
    assertEquals(0, learned.orders);
  }

  /** Late answers at idle engines, or before ordered engines serve, don't raise the headroom. */
  @ParameterizedTest
  @CsvSource({"0.5, false, true", "0.2, false, false", "0.5, true, false"})
  void raiseTheHeadroomOnlyWhereEnginesHelp(double use, boolean awaitsEngines, boolean raised) {
    Headroom headroom = new Headroom();
    double before = headroom.factor();
    headroom.update(new ServiceQuality(70, 300, 60, 0), use, awaitsEngines, 0.5);
    assertEquals(raised, headroom.factor() > before);
    for (int i = 0; i < 1_000; i++) {
      headroom.update(new ServiceQuality(70, 300, 300, 0), use, awaitsEngines, 0.5);
    }
    assertTrue(headroom.factor() <= Headroom.MAX);
  }
}
