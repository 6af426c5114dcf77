package io.jacinthquay.consensus.raft;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Plays random histories for minutes; started by {@code ./fuzz}. History number n of a run with
 * seed s is the first one of a run with seed s + n, so that every failure can be played alone.
 */
class LongFuzzRun {
  @Test
  void playsUntilTimeIsUp() {
    long seed = Long.getLong("fuzz.seed", 1);
    Fault fault = Fault.valueOf(System.getProperty("fuzz.fault", Fault.NONE.name()));
    long nanos = (long) (Double.parseDouble(System.getProperty("fuzz.minutes", "1")) * 60e9);
    long begin = System.nanoTime();
    long played = 0;
    while (played == 0 || System.nanoTime() - begin < nanos) {
      playOne(seed + played, fault);
      played++;
    }
    long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begin);
    System.out.println(
        "fuzz: " + played + " histories from seed " + seed + " in " + seconds + " s");
  }

  private static void playOne(long seed, Fault fault) {
    try {
      SimCluster.play(History.random(seed), fault);
    } catch (AssertionError | RuntimeException e) {
      String again = "replay with: ./fuzz --minutes 0 --seed " + seed;
      throw new AssertionError("history " + seed + " failed: " + e.getMessage() + "; " + again, e);
    }
  }
}
