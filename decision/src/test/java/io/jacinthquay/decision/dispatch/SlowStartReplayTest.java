package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays the loads that slow start answers, with it and without it. */
final class SlowStartReplayTest {
  private static final int ENGINES = 30;

  /** Three quarters of what an engine runs on average at the replayed rate. */
  private static final int SHARE = 6;

  private static final long[] SEEDS = {1, 2};

  private static ReplayedPool warmPool(boolean paced, long seed) {
    ReplayedPool pool = new ReplayedPool(paced, ENGINES, seed);
    pool.requestsPerMilli = 0.8;
    pool.run(4_000);
    pool.served = 0;
    return pool;
  }

  /** Returns the sum of a figure over the seeds. */
  private static int sum(boolean paced, ToIntFunction<ReplayedPool> replay) {
    int sum = 0;
    for (long seed : SEEDS) {
      sum += replay.applyAsInt(warmPool(paced, seed));
    }
    return sum;
  }

  /** Asserts that slow start brings a figure to a share of what it is without. */
  private static void assertReduced(double share, ToIntFunction<ReplayedPool> replay) {
    int today = sum(false, replay);
    int paced = sum(true, replay);
    assertTrue(today > 0 && paced <= share * today, "today " + today + ", paced " + paced);
  }

  private static ReplayedPool.Engine addEngine(ReplayedPool pool, double bears) {
    ReplayedPool.Engine added = pool.add("new");
    added.bears = bears;
    pool.list();
    return added;
  }

  private static ReplayedPool.Engine recoverEngine(ReplayedPool pool, double bears) {
    ReplayedPool.Engine engine = pool.engine("u0");
    engine.failShare = 1;
    pool.run(3_000);
    engine.failShare = 0;
    engine.bears = bears;
    engine.sentAbove = 0;
    engine.mostInFlight = 0;
    return engine;
  }

  /** Runs until an engine has carried its share and returns how long that took, up to 5 s. */
  private static int millisToShare(ReplayedPool pool, ReplayedPool.Engine engine) {
    int millis = 0;
    for (; engine.mostInFlight < SHARE && millis < 5_000; millis += 50) {
      pool.run(50);
    }
    return millis;
  }

  private static int sentAbove(ReplayedPool pool, ReplayedPool.Engine engine) {
    pool.run(3_000);
    return engine.sentAbove;
  }

  /** Guards against herding: an empty engine looks best to all routers within one exchange. */
  @ParameterizedTest
  @ValueSource(doubles = {12, 4})
  void exceedWhatANewEngineBearsLessOften(double bears) {
    assertReduced(0.6, pool -> sentAbove(pool, addEngine(pool, bears)));
  }

  /** Guards against an engine that gets a full load because its first answers were fast. */
  @Test
  void exceedWhatASlowRecoveredEngineBearsLessOften() {
    assertReduced(0.75, pool -> sentAbove(pool, recoverEngine(pool, 3)));
  }

  /** Guards against a window that never grows, and an engine that stays blocked though fast. */
  @Test
  void giveFastEnginesTheirShareSoon() {
    int added = sum(true, pool -> millisToShare(pool, addEngine(pool, 12)));
    int recovered = sum(true, pool -> millisToShare(pool, recoverEngine(pool, 12)));
    assertTrue(added <= 1_500 * SEEDS.length, "new engines took " + added);
    assertTrue(recovered <= 2_000 * SEEDS.length, "recovered engines took " + recovered);
  }

  /** Guards against an engine that is restored fully each time that it answers one request. */
  @Test
  void failFewerRequestsAtAFlappingEngine() {
    assertReduced(
        0.9,
        pool -> {
          ReplayedPool.Engine flapping = pool.engine("u0");
          for (int second = 0; second < 10; second++) {
            flapping.failShare = second % 2 == 0 ? 1 : 0;
            pool.run(1_000);
          }
          return flapping.failed;
        });
  }

  /** Guards against routers that can't exchange loads and together flood a new engine. */
  @Test
  void holdTheSumWhileRoutersAreCutOff() {
    assertReduced(
        0.2,
        pool -> {
          pool.exchanging = false;
          pool.run(2_000);
          ReplayedPool.Engine added = addEngine(pool, 12);
          pool.run(3_000);
          return added.mostInFlight;
        });
  }

  private static int servedWhileReplaced(ReplayedPool pool) {
    pool.removeAll();
    for (int i = 0; i < ENGINES; i++) {
      pool.add("new" + i);
    }
    pool.list();
    pool.run(3_000);
    assertEquals(0, pool.unplaced);
    return pool.served;
  }

  private static int servedWhileAllFailPartially(ReplayedPool pool) {
    for (int i = 0; i < ENGINES; i++) {
      pool.engine("u" + i).failShare = 0.45;
    }
    pool.run(4_000);
    assertEquals(0, pool.unplaced);
    return pool.served;
  }

  /** Guards against a pool that is throttled because its engines are new, or fail, as a whole. */
  @Test
  void carryTheDemandOfAPoolThatIsReplacedOrFailsPartially() {
    assertServed(SlowStartReplayTest::servedWhileReplaced);
    assertServed(SlowStartReplayTest::servedWhileAllFailPartially);
  }

  private static void assertServed(ToIntFunction<ReplayedPool> replay) {
    int today = sum(false, replay);
    int paced = sum(true, replay);
    assertTrue(paced >= 0.95 * today, "today " + today + ", paced " + paced);
  }
}
