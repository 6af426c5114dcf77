package io.jacinthquay.bench.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints results: one JSON line each, then a table that sets them side by side. */
public final class ResultTable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String HEAD = "%-16s %8s %8s %9s %9s %9s %7s %7s %7s %7s %8s %8s  %s%n";
  private static final String ROW =
      "%-16s %8d %8.3f %9.0f %9.0f %9.0f %7.3f %7.3f %7.3f %7.3f %8.3f %8d  %s%n";

  private ResultTable() {}

  /** Returns one JSON line. */
  public static String line(Object result) {
    try {
      return JSON.writeValueAsString(result);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a result cannot be written", e);
    }
  }

  /** Prints the table. */
  public static void print(List<RunResult> results, PrintStream out) {
    out.printf(
        HEAD,
        "strategy",
        "requests",
        "on-target",
        "p50 ms",
        "p95 ms",
        "goodput",
        "wasted",
        "worst",
        "beside",
        "cached",
        "attempts",
        "breaches",
        "on-target by class");
    for (RunResult r : results) {
      out.printf(
          Locale.ROOT,
          ROW,
          r.strategy(),
          r.requests(),
          r.attainment(),
          r.p50FirstTokenMs(),
          r.p95FirstTokenMs(),
          r.goodput(),
          r.wasted(),
          r.worstCustomer(),
          r.worstBesideFlood(),
          r.prefixHitShare(),
          r.attemptsPerRequest(),
          r.breaches(),
          classes(r.classes()));
    }
  }

  private static String classes(List<ClassScore> classes) {
    StringBuilder text = new StringBuilder();
    for (ClassScore c : classes) {
      text.append(String.format(Locale.ROOT, "%s=%.3f ", c.name(), c.attainment()));
    }
    return text.toString().trim();
  }
}
