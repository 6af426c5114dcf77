package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.List;

/** The result of one check: counts of cases and descriptions of violations. */
final class Verdict {
  private final List<String> violations = new ArrayList<>();
  private final List<String> remarks = new ArrayList<>();
  private int judged;
  private int notJudged;

  /** Counts one case, and records a violation unless the guarantee holds for it. */
  void judge(boolean holds, String violation) {
    judged++;
    if (!holds) {
      violations.add(violation);
    }
  }

  /** Counts one case; a violation is skipped if an injected fault may explain it. */
  void judgeUnlessExplained(boolean holds, boolean explained, String violation) {
    if (!holds && explained) {
      skip();
    } else {
      judge(holds, violation);
    }
  }

  /** Counts a case that is not judged because an injected fault may explain it. */
  void skip() {
    notJudged++;
  }

  /** Adds a measured figure to the report. */
  void remark(String text) {
    remarks.add(text);
  }

  List<String> remarks() {
    return List.copyOf(remarks);
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  int judged() {
    return judged;
  }

  int notJudged() {
    return notJudged;
  }
}
