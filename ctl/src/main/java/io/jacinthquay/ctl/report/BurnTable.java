package io.jacinthquay.ctl.report;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.ctl.report.BurnDocument.Age;
import io.jacinthquay.ctl.report.BurnDocument.Line;
import io.jacinthquay.ctl.report.BurnDocument.Times;
import java.util.Locale;

/** Formats the report on SLO burn rates as tables of text. */
public final class BurnTable {
  private BurnTable() {}

  /** Returns a report as text. */
  public static String write(BurnDocument document) {
    StringBuilder text = new StringBuilder();
    text.append(lines(document)).append('\n');
    document
        .worst()
        .forEach(
            worst ->
                text.append("worst-served customer: ")
                    .append(worst.customer())
                    .append(" in ")
                    .append(worst.className())
                    .append('\n'));
    text.append('\n').append(times(document)).append('\n').append(ages(document));
    return text.toString();
  }

  private static Table lines(BurnDocument document) {
    Table table =
        Table.of(
            "CLASS",
            "CUSTOMER",
            "REQUESTS",
            "ATTAINED",
            "OBJECTIVE",
            "BUDGET LEFT",
            "BURN 5m",
            "1h",
            "6h",
            "3d",
            "ALERT");
    document.classes().forEach(line -> addRow(table, line));
    document.customers().forEach(line -> addRow(table, line));
    return table;
  }

  private static void addRow(Table table, Line line) {
    table.row(
        line.className(),
        line.customer(),
        line.requests(),
        percent(line.attainment()),
        percent(line.objective()),
        percent(line.budgetLeft()),
        number(line.burn().get(0)),
        number(line.burn().get(1)),
        number(line.burn().get(2)),
        number(line.burn().get(3)),
        line.alert());
  }

  private static Table times(BurnDocument document) {
    Table table =
        Table.of("CLASS", "FIRST TOKEN p95 ms", "TARGET", "BETWEEN TOKENS p95 ms", "TARGET");
    for (Times times : document.times()) {
      table.row(
          times.className(),
          number(times.firstTokenMs()),
          number(times.firstTokenTargetMs()),
          number(times.interTokenMs()),
          number(times.interTokenTargetMs()));
    }
    return table;
  }

  private static Table ages(BurnDocument document) {
    Table table =
        Table.of("ROUTER", "DOMAIN", "VERSION", "CONFIG AGE ms", "KEYS", "LOAD", "CACHE EVENTS");
    for (Age age : document.ages()) {
      table.row(
          age.router(),
          age.domain(),
          age.configVersion(),
          age.configMs(),
          age.keysMs(),
          age.loadMs(),
          age.cacheEventsMs());
    }
    return table;
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f %%", share * 100);
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }
}
