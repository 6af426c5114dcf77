package io.jacinthquay.bench.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Draws results as one self-contained SVG: a panel per run, a bar per strategy and measure. */
public final class SvgPlot {
  // Lengths in pixels.
  private static final int BAR_HEIGHT = 14;
  private static final int BAR_WIDTH = 180;
  private static final int LABEL_WIDTH = 130;
  private static final int COLUMN_WIDTH = BAR_WIDTH + 80;
  private static final int MARGIN = 20;
  private static final int HEAD_HEIGHT = 44;
  private static final String[] COLOURS = {
    "#1b6ca8", "#3f9b5b", "#b5651d", "#8a5a9e", "#a33b3b", "#6b6b6b", "#c2a33a"
  };

  /** One measure of a result. */
  private record Measure(String title, double value, String text) {}

  private SvgPlot() {}

  /** Returns the SVG document. */
  public static String draw(List<RunResult> results) {
    Map<String, List<RunResult>> panels = new LinkedHashMap<>();
    for (RunResult r : results) {
      String title = r.scenario() + ", seed " + r.seed();
      panels.computeIfAbsent(title, t -> new ArrayList<>()).add(r);
    }
    StringBuilder body = new StringBuilder();
    int y = MARGIN;
    for (Map.Entry<String, List<RunResult>> panel : panels.entrySet()) {
      y = drawPanel(panel.getKey(), panel.getValue(), y, body);
    }
    int width = 2 * MARGIN + LABEL_WIDTH + COLUMN_WIDTH * measures(results.get(0)).size();
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
            .formatted(width, y + MARGIN)
        + " font-family=\"sans-serif\" font-size=\"11\">\n"
        + body
        + "</svg>\n";
  }

  private static int drawPanel(String title, List<RunResult> runs, int top, StringBuilder out) {
    text(out, MARGIN, top + 12, title, "bold");
    List<Measure> headings = measures(runs.get(0));
    for (int column = 0; column < headings.size(); column++) {
      text(out, x(column), top + HEAD_HEIGHT - 12, headings.get(column).title(), "normal");
    }
    int y = top + HEAD_HEIGHT;
    for (int row = 0; row < runs.size(); row++) {
      text(out, MARGIN, y + BAR_HEIGHT - 3, runs.get(row).strategy(), "normal");
      List<Measure> measures = measures(runs.get(row));
      for (int column = 0; column < measures.size(); column++) {
        double maxValue = maxValue(runs, column);
        drawBar(out, x(column), y, measures.get(column), maxValue, COLOURS[row % COLOURS.length]);
      }
      y += BAR_HEIGHT + 4;
    }
    return y + MARGIN;
  }

  private static int x(int column) {
    return MARGIN + LABEL_WIDTH + column * COLUMN_WIDTH;
  }

  private static double maxValue(List<RunResult> runs, int column) {
    return runs.stream().mapToDouble(r -> measures(r).get(column).value()).max().orElse(1);
  }

  private static List<Measure> measures(RunResult r) {
    return List.of(
        measure("on target", r.attainment(), "%.3f"),
        measure("p95 first token, ms", r.p95FirstTokenMs(), "%.0f"),
        measure("goodput, tokens/s", r.goodput(), "%.0f"),
        measure("wasted share", r.wasted(), "%.3f"),
        measure("worst customer", r.worstCustomer(), "%.3f"),
        measure("cached share", r.prefixHitShare(), "%.3f"),
        measure("cost per million tokens", r.costPerMillionTokens(), "%.2f"));
  }

  private static Measure measure(String title, double value, String format) {
    return new Measure(title, value, String.format(Locale.ROOT, format, value));
  }

  private static void drawBar(
      StringBuilder out, int x, int y, Measure measure, double maxValue, String colour) {
    double width = maxValue <= 0 ? 0 : BAR_WIDTH * measure.value() / maxValue;
    out.append(
        String.format(
            Locale.ROOT,
            "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>%n",
            x,
            y,
            width,
            BAR_HEIGHT,
            colour));
    text(out, (int) (x + width + 4), y + BAR_HEIGHT - 3, measure.text(), "normal");
  }

  private static void text(StringBuilder out, int x, int y, String text, String weight) {
    String escaped = text.replace("&", "&amp;").replace("<", "&lt;");
    out.append(
        "<text x=\"%d\" y=\"%d\" font-weight=\"%s\">%s</text>%n".formatted(x, y, weight, escaped));
  }
}
