package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the kinds, targets and times of faults from the seed; equal plans have equal schedules.
 *
 * <p>Faults overlap, also on the same target. At most one control VM loses its data folder: the
 * system tolerates one lost disk at a time, and under other faults it can't be seen from outside
 * when the new disk has replaced the lost one.
 */
final class FaultSchedule {
  /** Mean time between the starts of two faults. */
  private static final int MEAN_GAP_MILLIS = 700;

  private static final int MIN_DURATION_MILLIS = 200;

  /** Smallest number of control VMs of which one may lose its disk. */
  private static final int MIN_CONTROLS_FOR_DISK_LOSS = 3;

  private FaultSchedule() {}

  /** Returns the faults of a plan, ordered by start. */
  static List<Fault> of(SoakPlan plan) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    List<FaultKind> kinds =
        plan.faults().stream().filter(k -> k != FaultKind.OBSERVER_STALLED).sorted().toList();
    List<Fault> faults = new ArrayList<>();
    if (kinds.isEmpty()) {
      return faults;
    }
    boolean noMoreWipes = plan.controls() < MIN_CONTROLS_FOR_DISK_LOSS;
    long startMillis = random.nextInt(2 * MEAN_GAP_MILLIS);
    while (startMillis < plan.load().toMillis()) {
      FaultKind kind = kinds.get(random.nextInt(kinds.size()));
      int target = random.nextInt(plan.targets(kind));
      long durationMillis = random.nextInt(MIN_DURATION_MILLIS, (int) plan.maxFault().toMillis());
      boolean isWipe = kind == FaultKind.CONTROL_WIPED;
      if (!isWipe || !noMoreWipes) {
        faults.add(new Fault(kind, target, startMillis, durationMillis));
        noMoreWipes |= isWipe;
      }
      startMillis += random.nextInt(2 * MEAN_GAP_MILLIS);
    }
    faults.sort(Comparator.comparingLong(Fault::startMillis));
    return faults;
  }
}
