package io.jacinthquay.bench.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Formats results as JSON lines and prints them as a table for comparison. */
public final class ResultTable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String HEADER_FORMAT =
      "%-16s %8s %8s %9s %9s %9s %7s %7s %7s %7s %8s %8s  %s%n";
  private static final String ROW_FORMAT =
      "%-16s %8d %8.3f %9.0f %9.0f %9.0f %7.3f %7.3f %7.3f %7.3f %8.3f %8d  %s%n";

  private ResultTable() {}

  /** Returns a result as one line of JSON. */
  public static String toJson(Object result) {
    try {
      return JSON.writeValueAsString(result);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a result", e);
    }
  }

  /** Prints a table with one row per result. */
  public static void print(List<RunResult> results, PrintStream out) {
    out.printf(
        HEADER_FORMAT,
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
          ROW_FORMAT,
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
          attainmentByClass(r.classes()));
    }
  }

  private static String attainmentByClass(List<ClassScore> classes) {
    StringBuilder text = new StringBuilder();
    for (ClassScore c : classes) {
      text.append(String.format(Locale.ROOT, "%s=%.3f ", c.name(), c.attainment()));
    }
    return text.toString().trim();
  }
}
