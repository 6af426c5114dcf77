package io.jacinthquay.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Formats the capacity page: projections at the planned size and the measured slopes. */
final class CapacityPage {
  private static final double MICROS_PER_CORE_SECOND = 1e6;
  private static final double MAX_TOLD_SUSPECTS = 64;
  private static final double MAX_SUSPECTS = 1_024;
  private static final double SELECTIONS_PER_SECOND = 20;

  /** Views that a router receives from a relay in a second. */
  private static final double VIEWS_PER_SECOND = 1 / 0.3;

  private static final List<Projection> PROJECTIONS =
      List.of(
          new Projection(
              "router",
              "membership, bytes/s",
              "gossip within a domain, summaries through two relays",
              "membership-bytes",
              PlannedSize.NODES_PER_DOMAIN,
              1,
              PlannedSize.LIMIT_BYTES_PER_SECOND),
          new Projection(
              "router",
              "slots, bytes/s",
              "one owner per pool and domain, slots ahead of demand",
              "slot-bytes",
              PlannedSize.REQUESTS_PER_NODE,
              1,
              PlannedSize.LIMIT_BYTES_PER_SECOND),
          new Projection(
              "router",
              "placement, share of a core",
              "power of d over a stable subset",
              "placement-micros",
              Math.log(PlannedSize.REPLICAS) / Math.log(2),
              PlannedSize.REQUESTS_PER_NODE / MICROS_PER_CORE_SECOND,
              PlannedSize.LIMIT_CORE_SHARE),
          new Projection(
              "router",
              "configuration and keys, bytes of memory",
              "persistent maps by entity",
              "policy-bytes",
              PlannedSize.CUSTOMERS,
              1,
              PlannedSize.LIMIT_MEMORY_BYTES),
          new Projection(
              "router",
              "service-level counts, bytes of memory",
              "four rings per class and customer",
              "slo-bytes",
              PlannedSize.CUSTOMERS,
              1,
              PlannedSize.LIMIT_MEMORY_BYTES),
          new Projection(
              "router",
              "suspect parts of prompts while upstreams crash, bytes/s",
              "only while there are suspects; 64 at most are told",
              "suspect-view-bytes",
              MAX_TOLD_SUSPECTS,
              VIEWS_PER_SECOND,
              PlannedSize.LIMIT_BYTES_PER_SECOND),
          new Projection(
              "router",
              "suspect parts of prompts, bytes of memory",
              "1,024 at most",
              "suspect-bytes",
              MAX_SUSPECTS,
              1,
              PlannedSize.LIMIT_MEMORY_BYTES),
          new Projection(
              "control VM",
              "selection of suspects by the leader, share of a core",
              "1,024 suspects at most, selected 20 times a second at most",
              "suspect-select-micros",
              MAX_SUSPECTS,
              SELECTIONS_PER_SECOND / MICROS_PER_CORE_SECOND,
              PlannedSize.LIMIT_CORE_SHARE),
          new Projection(
              "keeper",
              "bytes/s of a leader for all relays",
              "deltas to two relays per domain",
              "keeper-reader-bytes",
              2 * PlannedSize.FAILURE_DOMAINS,
              1,
              0),
          new Projection(
              "keeper",
              "restart after a day of changes, ms",
              "snapshot every 10,000 entries",
              "keeper-restart",
              PlannedSize.CHANGES_PER_DAY,
              1,
              0));

  private CapacityPage() {}

  /**
   * Returns the page in Markdown.
   *
   * @param text follows the tables
   * @throws IllegalArgumentException if a projection names a slope that is missing
   */
  static String write(List<Slope> slopes, String text) {
    Map<String, Slope> byName =
        slopes.stream().collect(Collectors.toMap(Slope::name, Function.identity()));
    StringBuilder page = new StringBuilder();
    page.append("# Capacity\n\nWritten by `jq-bench capacity` out of docs/capacity/slopes.json ")
        .append("(measured) and docs/capacity/text.md.\n\n## At the planned size\n\n");
    page.append("| role | what | carried by | slope | at size | comes to | limit | |\n");
    page.append("|---|---|---|---|---|---|---|---|\n");
    PROJECTIONS.forEach(projection -> row(page, projection, byName));
    trafficRow(page, byName);
    page.append("\n## Measured slopes\n\n");
    page.append("| slope | size | quantity | points | per unit | at 0 | R² | largest residual |\n");
    page.append("|---|---|---|---|---|---|---|---|\n");
    slopes.forEach(slope -> row(page, slope));
    page.append('\n');
    slopes.forEach(
        slope ->
            page.append("- ")
                .append(slope.name())
                .append(": `")
                .append(slope.command())
                .append("`\n"));
    return page.append('\n').append(text).toString();
  }

  /** Adds the sum of all projections that share the limit on bytes per second and node. */
  private static void trafficRow(StringBuilder page, Map<String, Slope> slopes) {
    double limit = PlannedSize.LIMIT_BYTES_PER_SECOND;
    double sum =
        PROJECTIONS.stream()
            .filter(projection -> projection.limit() == limit)
            .mapToDouble(projection -> projection.value(slopes.get(projection.slope())))
            .sum();
    cells(
        page,
        "router",
        "all of the traffic above, bytes/s",
        "",
        "",
        "",
        number(sum),
        number(limit),
        sum <= limit ? "holds" : "does not hold");
  }

  private static void row(StringBuilder page, Projection projection, Map<String, Slope> slopes) {
    Slope slope = slopes.get(projection.slope());
    if (slope == null) {
      throw new IllegalArgumentException("no measured slope is named " + projection.slope());
    }
    String limit = projection.limit() > 0 ? number(projection.limit()) : "";
    cells(
        page,
        projection.role(),
        projection.what(),
        projection.mechanism(),
        projection.slope(),
        number(projection.size()),
        number(projection.value(slope)),
        limit,
        projection.verdict(slope));
  }

  private static void row(StringBuilder page, Slope slope) {
    Slope.Fit fit = slope.fit();
    String points =
        slope.points().stream()
            .map(p -> number(p.size()) + ": " + number(p.value()))
            .collect(Collectors.joining(", "));
    cells(
        page,
        slope.name(),
        slope.size(),
        slope.quantity(),
        points,
        number(fit.perUnit()),
        number(fit.base()),
        number(fit.determination()),
        number(fit.largestResidual()));
  }

  private static void cells(StringBuilder page, String... cells) {
    page.append("| ").append(String.join(" | ", cells)).append(" |\n");
  }

  private static String number(double value) {
    boolean whole = Math.abs(value) >= 100 || value == Math.rint(value);
    return String.format(Locale.ROOT, whole ? "%,.0f" : "%.3g", value);
  }
}
