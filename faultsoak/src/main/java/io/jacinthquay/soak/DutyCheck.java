package io.jacinthquay.soak;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that each duty has one holder at a time, by its fencing tokens, and that no usage window
 * is reported with two different counts.
 */
final class DutyCheck implements Check {
  private static final String USAGE_PREFIX = "usage ";

  @Override
  public String guarantee() {
    return "one holder of a duty, one figure for each usage window";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<String, Long> highestTokens = new HashMap<>();
    Map<String, String> holders = new HashMap<>();
    Map<String, String> windows = new HashMap<>();
    for (History.Duty duty : history.duties()) {
      boolean isUsage = duty.subject().startsWith(USAGE_PREFIX);
      String subject = isUsage ? USAGE_PREFIX : duty.subject();
      long highest = highestTokens.merge(subject, duty.fencingToken(), Math::max);
      verdict.judge(
          duty.fencingToken() == highest,
          subject + ": " + duty.fencingToken() + " came after " + highest);
      String holder = holders.putIfAbsent(subject + " " + duty.fencingToken(), duty.holder());
      verdict.judge(
          holder == null || holder.equals(duty.holder()),
          subject + ": " + holder + " and " + duty.holder() + " both hold " + duty.fencingToken());
      if (isUsage) {
        String reported = windows.putIfAbsent(duty.subject(), duty.content());
        verdict.judge(
            reported == null || reported.equals(duty.content()),
            duty.subject() + " was reported as " + reported + " and as " + duty.content());
      }
    }
    return verdict;
  }
}
