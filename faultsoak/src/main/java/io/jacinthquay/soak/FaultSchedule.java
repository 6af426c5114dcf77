package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws which faults come when; the same plan has the same schedule.
 *
 * <p>Faults overlap, also on the same target. One control VM at most loses its folder: the system
 * bears one lost disk at a time, and under other faults nobody outside can tell when a new one has
 * taken its place.
 */
final class FaultSchedule {
  /** Mean time between two faults, in milliseconds. */
  private static final int MEAN_GAP_MILLIS = 700;

  private static final int LEAST_MILLIS = 200;
  private static final int MOST_MILLIS = 4_000;

  private static final int LEAST_CONTROLS_TO_LOSE_ONE = 3;

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
    boolean wiped = plan.controls() < LEAST_CONTROLS_TO_LOSE_ONE;
    long at = random.nextInt(2 * MEAN_GAP_MILLIS);
    while (at < plan.load().toMillis()) {
      FaultKind kind = kinds.get(random.nextInt(kinds.size()));
      int target = random.nextInt(plan.targets(kind));
      long length = random.nextInt(LEAST_MILLIS, MOST_MILLIS);
      boolean wipe = kind == FaultKind.CONTROL_WIPED;
      if (!wipe || !wiped) {
        faults.add(new Fault(kind, target, at, length));
        wiped |= wipe;
      }
      at += random.nextInt(2 * MEAN_GAP_MILLIS);
    }
    faults.sort(Comparator.comparingLong(Fault::atMillis));
    return faults;
  }
}
