package io.jacinthquay.ctl.output;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of text with aligned columns.
 *
 * <pre>{@code
 * Table table = Table.of("VERSION", "AUTHOR").row("12", "ops");
 * }</pre>
 */
public final class Table {
  private static final String COLUMN_SEPARATOR = "  ";

  private final List<String> headers;
  private final List<List<String>> rows = new ArrayList<>();

  private Table(List<String> headers) {
    this.headers = headers;
  }

  /** Returns an empty table with a heading for each column. */
  public static Table of(String... headers) {
    return new Table(List.of(headers));
  }

  /**
   * Adds a row.
   *
   * @throws IllegalArgumentException if the number of cells differs from the number of columns
   */
  public Table row(Object... cells) {
    if (cells.length != headers.size()) {
      throw new IllegalArgumentException("a row must have " + headers.size() + " cells");
    }
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(String.valueOf(cell));
    }
    rows.add(row);
    return this;
  }

  @Override
  public String toString() {
    int[] widths = new int[headers.size()];
    updateWidths(headers, widths);
    rows.forEach(row -> updateWidths(row, widths));
    StringBuilder text = new StringBuilder();
    appendRow(headers, widths, text);
    rows.forEach(row -> appendRow(row, widths, text));
    return text.toString();
  }

  private static void updateWidths(List<String> row, int[] widths) {
    for (int i = 0; i < widths.length; i++) {
      widths[i] = Math.max(widths[i], row.get(i).length());
    }
  }

  private static void appendRow(List<String> row, int[] widths, StringBuilder text) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      line.append(row.get(i))
          .append(" ".repeat(widths[i] - row.get(i).length()))
          .append(COLUMN_SEPARATOR);
    }
    text.append(line.toString().stripTrailing()).append('\n');
  }
}
