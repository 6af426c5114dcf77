package io.jacinthquay.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Judges, in calm, whether an acknowledged document reaches all routers in time, and whether it is
 * still there after all programs were killed right after its acknowledgement.
 *
 * <p>While faults are injected, most of what routers do with an old document is excused by a fault,
 * so only the time after them shows a router that stays behind.
 */
final class DocumentConvergence {
  private static final long POLL_MILLIS = 50;
  private static final int MAX_FURTHER_KILLS = 2;
  private static final int MAX_KILL_GAP_MILLIS = 1_500;

  /** The programs of a run. */
  interface Programs {
    /** Returns the version of the document that each router follows; -1 if one doesn't tell. */
    List<Long> versionsInForce();

    /** Kills all programs and starts them again. */
    void killAndStart() throws IOException;
  }

  /** The operator that changes and reads the document. */
  interface Operator {
    /** Sends the next version until it is acknowledged; returns whether it was. */
    boolean changeDocument(BooleanSupplier keepTrying) throws InterruptedException;

    /** Returns the version that was sent last. */
    long version();

    /** Reads the version of the document; empty if the read failed. */
    OptionalLong readVersion();
  }

  /**
   * Time limits.
   *
   * @param calm time without faults after which every router is expected to follow the control VMs
   * @param acknowledge time for a change to be acknowledged in calm
   * @param apply time from an acknowledgement in calm until all routers apply the document
   * @param recover time from a restart of all programs until the newest document is in force again
   */
  record Limits(Duration calm, Duration acknowledge, Duration apply, Duration recover) {
    /** The users' bounds. */
    static final Limits DEFAULT =
        new Limits(
            Duration.ofSeconds(3),
            Duration.ofSeconds(4),
            Duration.ofSeconds(2),
            Duration.ofSeconds(12));
  }

  private final Programs programs;
  private final Operator operator;
  private final SplittableRandom random;
  private final Limits limits;

  DocumentConvergence(
      Programs programs, Operator operator, SplittableRandom random, Limits limits) {
    this.programs = programs;
    this.operator = operator;
    this.random = random;
    this.limits = limits;
  }

  /** Judges whether a change reaches all routers in time; waits first until all is calm. */
  Verdict judgeCalm() throws InterruptedException {
    Verdict verdict = new Verdict();
    TimeUnit.MILLISECONDS.sleep(limits.calm().toMillis());
    if (changeDocument(verdict)) {
      judgeRouters(verdict, SoakRun.within(limits.apply()));
    }
    return verdict;
  }

  /**
   * Kills all programs right after a change was acknowledged, up to three times in a row, and
   * judges whether the change is in force and can be read after their restart.
   */
  Verdict judgeRestart() throws IOException, InterruptedException {
    Verdict verdict = new Verdict();
    if (!changeDocument(verdict)) {
      return verdict;
    }
    programs.killAndStart();
    for (int kills = random.nextInt(MAX_FURTHER_KILLS + 1); kills > 0; kills--) {
      TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_KILL_GAP_MILLIS));
      programs.killAndStart();
    }
    BooleanSupplier recovering = SoakRun.within(limits.recover());
    judgeRouters(verdict, recovering);
    OptionalLong read = operator.readVersion();
    while (read.isEmpty() && recovering.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      read = operator.readVersion();
    }
    verdict.judge(
        read.isPresent() && read.getAsLong() >= operator.version(),
        "version " + operator.version() + " was acknowledged, then read: " + read);
    return verdict;
  }

  private boolean changeDocument(Verdict verdict) throws InterruptedException {
    boolean acknowledged = operator.changeDocument(SoakRun.within(limits.acknowledge()));
    verdict.judge(acknowledged, "version " + operator.version() + " was not acknowledged in calm");
    return acknowledged;
  }

  private void judgeRouters(Verdict verdict, BooleanSupplier keepTrying)
      throws InterruptedException {
    long version = operator.version();
    List<Long> inForce = programs.versionsInForce();
    while (inForce.stream().anyMatch(v -> v < version) && keepTrying.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      inForce = programs.versionsInForce();
    }
    for (int i = 0; i < inForce.size(); i++) {
      verdict.judge(
          inForce.get(i) >= version,
          "router " + i + " follows version " + inForce.get(i) + " in place of " + version);
    }
  }
}
