package io.jacinthquay.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Judges whether the control VMs recover from disks that are full one after the other, never two at
 * once, while documents change.
 */
final class DiskRotation {
  private static final int MIN_FULL_MILLIS = 500;
  private static final int MAX_FULL_MILLIS = 3_000;
  private static final int MAX_GAP_MILLIS = 300;
  private static final long POLL_MILLIS = 50;

  /** The control VMs of a run. */
  interface Controls {
    int count();

    /** Makes all writes of a control VM fail from now on, or succeed again. */
    void rejectWrites(int control, boolean rejected) throws IOException;

    /** Returns the version of the document that a control VM tells, or empty if it doesn't. */
    OptionalLong readVersion(int control);
  }

  private final Controls controls;
  private final DocumentConvergence.Operator operator;
  private final SplittableRandom random;
  private final DocumentConvergence.Limits limits;

  DiskRotation(
      Controls controls,
      DocumentConvergence.Operator operator,
      SplittableRandom random,
      DocumentConvergence.Limits limits) {
    this.controls = controls;
    this.operator = operator;
    this.random = random;
    this.limits = limits;
  }

  /** Fills each disk in turn, and judges the first change after the last. */
  Verdict judge() throws IOException, InterruptedException {
    Verdict verdict = new Verdict();
    for (int control = 0; control < controls.count(); control++) {
      controls.rejectWrites(control, true);
      try {
        changeDocuments(SoakRun.within(randomMillis(MIN_FULL_MILLIS, MAX_FULL_MILLIS)));
      } finally {
        controls.rejectWrites(control, false);
      }
      changeDocuments(SoakRun.within(randomMillis(0, MAX_GAP_MILLIS)));
    }
    boolean acknowledged = operator.changeDocument(SoakRun.within(limits.acknowledge()));
    verdict.judge(acknowledged, "version " + operator.version() + " was not acknowledged");
    if (acknowledged) {
      judgeReads(verdict, SoakRun.within(limits.apply()));
    }
    return verdict;
  }

  private Duration randomMillis(int from, int until) {
    return Duration.ofMillis(random.nextInt(from, until));
  }

  private void changeDocuments(BooleanSupplier keepRunning) throws InterruptedException {
    while (keepRunning.getAsBoolean()) {
      var unused = operator.changeDocument(keepRunning);
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private void judgeReads(Verdict verdict, BooleanSupplier keepTrying) throws InterruptedException {
    for (int control = 0; control < controls.count(); control++) {
      OptionalLong read = controls.readVersion(control);
      while (read.orElse(-1) < operator.version() && keepTrying.getAsBoolean()) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        read = controls.readVersion(control);
      }
      verdict.judge(
          read.orElse(-1) >= operator.version(),
          "control VM "
              + control
              + " tells "
              + read
              + " in place of version "
              + operator.version());
    }
  }
}
