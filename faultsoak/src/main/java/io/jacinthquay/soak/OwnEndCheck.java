package io.jacinthquay.soak;

import java.util.concurrent.TimeUnit;

/**
 * Checks that no process ends by itself. The users excuse an end during a disturbance of its
 * machine or links, or within a second of it; those are judged as a guarantee of their own.
 */
final class OwnEndCheck implements Check {
  /** A process that ends this long after a disturbance is excused; periods of faults end later. */
  private static final long AFTERMATH_NANOS =
      TimeUnit.SECONDS.toNanos(1) - FaultInjector.SETTLE_NANOS;

  private final boolean disturbed;

  /**
   * Creates a check.
   *
   * @param disturbed whether to judge the ends during a disturbance in place of all others
   */
  OwnEndCheck(boolean disturbed) {
    this.disturbed = disturbed;
  }

  @Override
  public String guarantee() {
    return disturbed
        ? "processes go on through a disturbance"
        : "processes end when they are told to";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    for (History.OwnEnd end : history.ownEnds()) {
      if (isDisturbed(end, history) == disturbed) {
        verdict.judge(false, describe(end));
      }
    }
    return verdict;
  }

  private static boolean isDisturbed(History.OwnEnd end, History history) {
    return history.faultPeriods().stream()
        .filter(period -> period.kind().isDisturbance())
        .filter(period -> period.overlaps(end.atNanos() - AFTERMATH_NANOS, end.atNanos()))
        .filter(period -> period.affects(end.number()))
        .anyMatch(
            period ->
                period.kind().where() == end.where()
                    || end.where() == FaultKind.Where.CONTROL
                        && period.kind().where() == FaultKind.Where.OPERATOR);
  }

  private static String describe(History.OwnEnd end) {
    return (end.where() == FaultKind.Where.ROUTER ? "router " : "control VM ")
        + end.number()
        + " ended with code "
        + end.exitCode()
        + "; its last lines: "
        + String.join(" | ", end.lastLines());
  }
}
