package io.jacinthquay.soak;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Judges, after all faults have ended, whether a control VM leads in time. Time counts from when a
 * majority of the control VMs answers, so that the start of processes is no part of it.
 */
final class LeaderRecovery {
  private static final Logger log = LogManager.getLogger();

  /** Contact counts as lost after this time, for routers and for users. */
  static final Duration CONTACT_WINDOW = Duration.ofSeconds(3);

  private static final long POLL_MILLIS = 50;

  /** The control VMs of a run. */
  interface Controls {
    /** Returns their number. */
    int count();

    /** Returns whether one answers at all. */
    boolean answers(int control);

    /** Returns whether one says that a quorum has confirmed it as the leader. */
    boolean leads(int control);
  }

  private final Controls controls;
  private final Duration limit;

  /**
   * Returns a judge.
   *
   * @param limit longest time without a leader
   */
  LeaderRecovery(Controls controls, Duration limit) {
    this.controls = controls;
    this.limit = limit;
  }

  /**
   * Waits for a leader.
   *
   * @param starting whether to go on waiting for a majority to answer
   */
  Verdict judge(BooleanSupplier starting) throws InterruptedException {
    Verdict verdict = new Verdict();
    while (!isMajority(controls::answers) && starting.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    long from = System.nanoTime();
    BooleanSupplier waiting = SoakRun.within(limit);
    boolean led = isAny(controls::leads);
    while (!led && waiting.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      led = isAny(controls::leads);
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
    log.info("after the faults: a control VM leads: {}, after {} ms", led, millis);
    verdict.judge(led, "no control VM leads " + millis + " ms after the faults");
    return verdict;
  }

  private boolean isMajority(IntPredicate predicate) {
    return 2 * IntStream.range(0, controls.count()).filter(predicate).count() > controls.count();
  }

  private boolean isAny(IntPredicate predicate) {
    return IntStream.range(0, controls.count()).anyMatch(predicate);
  }
}
