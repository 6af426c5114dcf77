package io.jacinthquay.consensus.raft;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Simulates random histories for some minutes; started by {@code ./fuzz}. History number n of a run
 * with seed s is the first one of a run with seed s + n, so that every failure can be replayed
 * alone.
 */
class LongFuzzRun {
  @Test
  void simulatesHistoriesUntilTimeIsUp() {
    long seed = Long.getLong("fuzz.seed", 1);
    Fault fault = Fault.valueOf(System.getProperty("fuzz.fault", Fault.NONE.name()));
    long durationNanos =
        (long) (Double.parseDouble(System.getProperty("fuzz.minutes", "1")) * 60e9);
    long startNanos = System.nanoTime();
    long simulated = 0;
    while (simulated == 0 || System.nanoTime() - startNanos < durationNanos) {
      simulateOne(seed + simulated, fault);
      simulated++;
    }
    long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos);
    System.out.println(
        "fuzz: " + simulated + " histories from seed " + seed + " in " + seconds + " s");
  }

  private static void simulateOne(long seed, Fault fault) {
    try {
      SimCluster.simulate(History.random(seed), fault);
    } catch (AssertionError | RuntimeException e) {
      String replayHint = "replay with: ./fuzz --minutes 0 --seed " + seed;
      throw new AssertionError(
          "history " + seed + " failed: " + e.getMessage() + "; " + replayHint, e);
    }
  }
}
