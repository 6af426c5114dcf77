package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The result of one run of the soak.
 *
 * @param plan the plan of the run
 * @param verdicts results of the checks, by guarantee
 * @param faultPeriods the injected faults
 * @param calls requests of the callers
 * @param longestDisconnectDelayNanos longest time that a link delayed the disconnect of a caller
 * @param latencies latencies of successful requests, in microseconds
 */
record SoakReport(
    SoakPlan plan,
    Map<String, Verdict> verdicts,
    List<FaultPeriod> faultPeriods,
    List<Call> calls,
    long longestDisconnectDelayNanos,
    Histogram latencies) {
  private static final int MAX_SHOWN = 5;
  private static final double MICROS_PER_MILLI = 1_000;

  /** Returns the violations, at most five of each guarantee. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    verdicts.forEach(
        (guarantee, verdict) ->
            verdict.violations().stream()
                .limit(MAX_SHOWN)
                .forEach(violation -> violations.add(guarantee + ": " + violation)));
    return violations;
  }

  /** Returns the report as printable text. */
  String text() {
    StringBuilder text = new StringBuilder();
    text.append("seed ")
        .append(plan.seed())
        .append(": ")
        .append(plan.routers())
        .append(" routers, ")
        .append(plan.controls())
        .append(" control VMs, ")
        .append(plan.load().toSeconds())
        .append(" s, ")
        .append(calls.size())
        .append(" requests\n  endings ")
        .append(count(calls.stream().map(SoakReport::ending).toList()))
        .append("\n  faults ")
        .append(count(faultPeriods.stream().map(period -> period.kind().name()).toList()))
        .append("\n  successes ms: ");
    for (double percent : new double[] {50, 99, 100}) {
      text.append("p").append((int) percent).append(' ');
      text.append(Math.round(latencies.getValueAtPercentile(percent) / MICROS_PER_MILLI));
      text.append("  ");
    }
    text.append("\n  ends of callers took at most ")
        .append(TimeUnit.NANOSECONDS.toMillis(longestDisconnectDelayNanos))
        .append(" ms to a router");
    verdicts.forEach(
        (guarantee, verdict) ->
            text.append("\n  ")
                .append(verdict.violations().isEmpty() ? "held   " : "BROKEN ")
                .append(guarantee)
                .append(" (judged ")
                .append(verdict.judged())
                .append(", not judged ")
                .append(verdict.notJudged())
                .append(", broken ")
                .append(verdict.violations().size())
                .append(')'));
    verdicts.values().stream()
        .flatMap(verdict -> verdict.remarks().stream())
        .forEach(remark -> text.append("\n  ").append(remark));
    violations().forEach(violation -> text.append("\n    ").append(violation));
    return text.toString();
  }

  private static String ending(Call call) {
    return call.ending() == Call.Ending.ANSWERED
        ? Integer.toString(call.status())
        : call.ending().name();
  }

  private static Map<String, Integer> count(List<String> names) {
    Map<String, Integer> counts = new TreeMap<>();
    names.forEach(name -> counts.merge(name, 1, Integer::sum));
    return counts;
  }
}
