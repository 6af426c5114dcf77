package io.jacinthquay.soak;

import java.util.HashMap;
import java.util.Map;

/** One holder acts at a time, and no usage window is reported with two figures. */
final class DutiesCheck implements Check {
  private static final String USAGE = "usage ";

  @Override
  public String promise() {
    return "one holder of a duty, one figure for each usage window";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<String, Long> fences = new HashMap<>();
    Map<String, String> holders = new HashMap<>();
    Map<String, String> windows = new HashMap<>();
    for (History.Duty duty : history.duties()) {
      boolean usage = duty.subject().startsWith(USAGE);
      String subject = usage ? USAGE : duty.subject();
      long highest = fences.merge(subject, duty.fence(), Math::max);
      verdict.judge(
          duty.fence() == highest, subject + ": " + duty.fence() + " came after " + highest);
      String holder = holders.putIfAbsent(subject + " " + duty.fence(), duty.holder());
      verdict.judge(
          holder == null || holder.equals(duty.holder()),
          subject + ": " + holder + " and " + duty.holder() + " both hold " + duty.fence());
      if (usage) {
        String before = windows.putIfAbsent(duty.subject(), duty.content());
        verdict.judge(
            before == null || before.equals(duty.content()),
            duty.subject() + " was reported as " + before + " and as " + duty.content());
      }
    }
    return verdict;
  }
}
