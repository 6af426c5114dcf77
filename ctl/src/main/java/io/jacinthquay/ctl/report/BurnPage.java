package io.jacinthquay.ctl.report;

import io.jacinthquay.ctl.report.BurnDocument.Line;
import java.util.List;
import java.util.Locale;

/** Formats the report on SLO burn rates as one HTML page without external resources. */
public final class BurnPage {
  // Sizes in pixels.
  private static final int BAR_WIDTH = 400;
  private static final int ROW_HEIGHT = 22;
  private static final int LABEL_WIDTH = 220;

  /** Burn rate whose bar has the full width; higher rates are cut off. */
  private static final double FULL_BAR_BURN_RATE = 20;

  private BurnPage() {}

  /** Returns a report as an HTML page. */
  public static String write(BurnDocument document) {
    StringBuilder page = new StringBuilder();
    page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        .append("<title>Service-level burn</title><style>")
        .append("body{font-family:sans-serif;margin:2em}rect.NONE{fill:#4a8}")
        .append("rect.TICKET{fill:#da3}rect.PAGE{fill:#c33}text{font-size:12px}")
        .append("</style></head><body><h1>Service-level burn</h1>");
    page.append("<h2>Attainment</h2>").append(plot(document.classes(), true));
    page.append("<h2>Burn rate over one hour</h2>").append(plot(document.classes(), false));
    page.append("<h2>Customers: error budget left</h2>").append(budgets(document.customers()));
    page.append("<h2>Figures</h2><pre>")
        .append(escape(BurnTable.write(document)))
        .append("</pre></body></html>\n");
    return page.toString();
  }

  private static String plot(List<Line> lines, boolean attainment) {
    StringBuilder svg = openSvg(lines.size());
    for (int i = 0; i < lines.size(); i++) {
      Line line = lines.get(i);
      double share = attainment ? line.attainment() : line.burn().get(1) / FULL_BAR_BURN_RATE;
      String label = line.className();
      String value =
          attainment
              ? String.format(Locale.ROOT, "%.2f %%", line.attainment() * 100)
              : String.format(Locale.ROOT, "%.1f", line.burn().get(1));
      appendBar(svg, i, label, value, share, line.alert());
    }
    return svg.append("</svg>").toString();
  }

  private static String budgets(List<Line> lines) {
    StringBuilder svg = openSvg(lines.size());
    for (int i = 0; i < lines.size(); i++) {
      Line line = lines.get(i);
      String value = String.format(Locale.ROOT, "%.1f %%", line.budgetLeft() * 100);
      String label = line.customer() + " / " + line.className();
      appendBar(svg, i, label, value, line.budgetLeft(), line.alert());
    }
    return svg.append("</svg>").toString();
  }

  private static StringBuilder openSvg(int rows) {
    int width = LABEL_WIDTH + 2 * BAR_WIDTH;
    return new StringBuilder("<svg width=\"")
        .append(width)
        .append("\" height=\"")
        .append(rows * ROW_HEIGHT)
        .append("\">");
  }

  private static void appendBar(
      StringBuilder svg, int row, String label, String value, double share, String alert) {
    int width = (int) Math.round(BAR_WIDTH * Math.max(0, Math.min(1, share)));
    int top = row * ROW_HEIGHT;
    int base = top + ROW_HEIGHT - 7;
    svg.append(
        String.format(
            Locale.ROOT,
            "<text x=\"0\" y=\"%d\">%s</text>"
                + "<rect class=\"%s\" x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\"/>"
                + "<text x=\"%d\" y=\"%d\">%s</text>",
            base,
            escape(label),
            escape(alert),
            LABEL_WIDTH,
            top + 2,
            width,
            ROW_HEIGHT - 4,
            LABEL_WIDTH + width + 6,
            base,
            escape(value)));
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
