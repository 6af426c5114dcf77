package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Draws the kinds, targets and times of faults from the seed; equal plans have equal schedules.
 *
 * <p>Faults overlap, also on the same target, and some faults of a process come in series: each one
 * begins while the process still handles the one before. At most one control VM loses its data
 * folder. The system tolerates one lost disk at a time, so that a replacement is left out while
 * another lost disk has not been replaced.
 */
final class FaultSchedule {
  /** Mean time between the starts of two faults. */
  private static final int MEAN_GAP_MILLIS = 700;

  private static final int MIN_DURATION_MILLIS = 200;

  /** One fault of a process in this many begins a series. */
  private static final int SERIES_ONE_IN = 5;

  /** Most faults that follow the first one of a series. */
  private static final int MAX_REPEATS = 3;

  private static final int MAX_REPEAT_GAP_MILLIS = 1_500;

  /** Faults that end all routers leave them this long to serve again. */
  private static final long BETWEEN_LOSSES_OF_ROUTERS_MILLIS = 6_000;

  /** Faults that a process may meet again before it has recovered from the last one. */
  private static final Set<FaultKind> REPEATED =
      EnumSet.of(
          FaultKind.ROUTER_PAUSED,
          FaultKind.ROUTER_KILLED,
          FaultKind.ROUTER_STOPPED,
          FaultKind.ROUTER_HUP,
          FaultKind.CONTROL_PAUSED,
          FaultKind.CONTROL_KILLED,
          FaultKind.CONTROL_STOPPED);

  /** Smallest number of control VMs of which one may lose its disk. */
  private static final int MIN_CONTROLS_FOR_DISK_LOSS = 3;

  private FaultSchedule() {}

  /** Returns the faults of a plan, ordered by start. */
  static List<Fault> of(SoakPlan plan) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    List<FaultKind> kinds = plan.faults().stream().filter(FaultKind::isScheduled).sorted().toList();
    List<Fault> faults = new ArrayList<>();
    if (kinds.isEmpty()) {
      return faults;
    }
    boolean noMoreWipes = false;
    long routersLostMillis = -BETWEEN_LOSSES_OF_ROUTERS_MILLIS;
    long startMillis = random.nextInt(2 * MEAN_GAP_MILLIS);
    while (startMillis < plan.load().toMillis()) {
      FaultKind kind = kinds.get(random.nextInt(kinds.size()));
      int target = random.nextInt(plan.targets(kind));
      long durationMillis = random.nextInt(MIN_DURATION_MILLIS, (int) plan.maxFault().toMillis());
      boolean isWipe = kind.isWipe();
      boolean tolerated = plan.controls() >= MIN_CONTROLS_FOR_DISK_LOSS || !kind.losesDisk();
      boolean tooSoon =
          kind.endsAllRouters()
              && startMillis < routersLostMillis + BETWEEN_LOSSES_OF_ROUTERS_MILLIS;
      if (tolerated && !tooSoon && (!isWipe || !noMoreWipes)) {
        routersLostMillis = kind.endsAllRouters() ? startMillis : routersLostMillis;
        faults.add(new Fault(kind, target, startMillis, durationMillis));
        noMoreWipes |= isWipe;
        if (REPEATED.contains(kind) && random.nextInt(SERIES_ONE_IN) == 0) {
          addSeries(faults.get(faults.size() - 1), random, faults);
        }
      }
      startMillis += random.nextInt(2 * MEAN_GAP_MILLIS);
    }
    faults.sort(Comparator.comparingLong(Fault::startMillis));
    return faults;
  }

  private static void addSeries(Fault first, SplittableRandom random, List<Fault> faults) {
    long startMillis = first.startMillis();
    for (int repeats = 1 + random.nextInt(MAX_REPEATS); repeats > 0; repeats--) {
      startMillis += random.nextInt(MAX_REPEAT_GAP_MILLIS);
      int durationMillis = MIN_DURATION_MILLIS + random.nextInt(MAX_REPEAT_GAP_MILLIS);
      faults.add(new Fault(first.kind(), first.target(), startMillis, durationMillis));
    }
  }
}
