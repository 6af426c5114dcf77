package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws which faults come when; the same plan has the same schedule.
 *
 * <p>Faults overlap, also on the same target. Only two kinds are kept apart: control VMs that lose
 * their folder, since one lost disk is what the system bears, and stops of processes that are still
 * being started.
 */
final class FaultSchedule {
  /** Mean time between two faults, in milliseconds. */
  private static final int MEAN_GAP_MILLIS = 700;

  private static final int LEAST_MILLIS = 200;
  private static final int MOST_MILLIS = 4_000;

  /** Time after a lost folder in which no other is lost, so that the new one is filled first. */
  private static final long WIPE_PAUSE_MILLIS = 20_000;

  private FaultSchedule() {}

  /** Returns the faults of a plan in the order in which they begin. */
  static List<Fault> of(SoakPlan plan) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    List<FaultKind> kinds =
        plan.faults().stream().filter(k -> k != FaultKind.OBSERVER_STALLED).sorted().toList();
    List<Fault> faults = new ArrayList<>();
    if (kinds.isEmpty()) {
      return faults;
    }
    long nextWipe = 0;
    long at = random.nextInt(2 * MEAN_GAP_MILLIS);
    while (at < plan.load().toMillis()) {
      FaultKind kind = kinds.get(random.nextInt(kinds.size()));
      int target = random.nextInt(plan.targets(kind));
      long length = random.nextInt(LEAST_MILLIS, MOST_MILLIS);
      boolean wipe = kind == FaultKind.CONTROL_WIPED;
      if (!wipe || at >= nextWipe && plan.controls() >= 3) {
        faults.add(new Fault(kind, target, at, length));
        nextWipe = wipe ? at + WIPE_PAUSE_MILLIS : nextWipe;
      }
      at += random.nextInt(2 * MEAN_GAP_MILLIS);
    }
    faults.sort(Comparator.comparingLong(Fault::atMillis));
    return faults;
  }
}
