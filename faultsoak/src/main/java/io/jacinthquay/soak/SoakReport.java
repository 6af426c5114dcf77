package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * What one run of the soak showed.
 *
 * @param plan what was run
 * @param verdicts what each check found, by promise
 * @param spans faults as they were played
 * @param calls requests of callers
 * @param ownEnds ends of processes that nobody asked for, with their exit codes
 * @param longestPassageNanos longest time that the end of a caller was on its way to a router
 * @param latencies of successes, in microseconds
 */
record SoakReport(
    SoakPlan plan,
    Map<String, Verdict> verdicts,
    List<Span> spans,
    List<Call> calls,
    List<String> ownEnds,
    long longestPassageNanos,
    Histogram latencies) {
  private static final int MOST_SHOWN = 5;
  private static final double MICROS_PER_MILLI = 1_000;

  /** Returns the broken promises, some cases of each. */
  List<String> faults() {
    List<String> faults = new ArrayList<>();
    verdicts.forEach(
        (promise, verdict) ->
            verdict.faults().stream()
                .limit(MOST_SHOWN)
                .forEach(fault -> faults.add(promise + ": " + fault)));
    ownEnds.forEach(end -> faults.add("processes end when they are told to: " + end));
    return faults;
  }

  /** Returns the report as text. */
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
        .append(count(spans.stream().map(span -> span.what().name()).toList()))
        .append("\n  successes ms: ");
    for (double percent : new double[] {50, 99, 100}) {
      text.append("p").append((int) percent).append(' ');
      text.append(Math.round(latencies.getValueAtPercentile(percent) / MICROS_PER_MILLI));
      text.append("  ");
    }
    text.append("\n  ends of callers took at most ")
        .append(TimeUnit.NANOSECONDS.toMillis(longestPassageNanos))
        .append(" ms to a router");
    verdicts.forEach(
        (promise, verdict) ->
            text.append("\n  ")
                .append(verdict.faults().isEmpty() ? "held   " : "BROKEN ")
                .append(promise)
                .append(" (judged ")
                .append(verdict.judged())
                .append(", not judged ")
                .append(verdict.notJudged())
                .append(", broken ")
                .append(verdict.faults().size())
                .append(')'));
    faults().forEach(fault -> text.append("\n    ").append(fault));
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
