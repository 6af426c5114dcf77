package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.List;

/** What one check found. */
final class Verdict {
  private final List<String> faults = new ArrayList<>();
  private int judged;
  private int notJudged;

  /** Counts one case, and keeps it as a fault if it is one. */
  void judge(boolean sound, String fault) {
    judged++;
    if (!sound) {
      faults.add(fault);
    }
  }

  /** Counts one case; one that isn't sound is left out if a fault from outside may explain it. */
  void judgeOr(boolean sound, boolean explained, String fault) {
    if (!sound && explained) {
      leaveOut();
    } else {
      judge(sound, fault);
    }
  }

  /** Counts a case that a fault from outside may explain. */
  void leaveOut() {
    notJudged++;
  }

  List<String> faults() {
    return List.copyOf(faults);
  }

  int judged() {
    return judged;
  }

  int notJudged() {
    return notJudged;
  }
}
