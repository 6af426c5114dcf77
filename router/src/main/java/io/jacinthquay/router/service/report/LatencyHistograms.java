package io.jacinthquay.router.service.report;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;

/** Latency histograms by one label, shown as quantiles in milliseconds. */
public final class LatencyHistograms {
  private static final long UNIT_NANOS = 100_000;
  private static final double UNITS_PER_MILLI = 10;
  private static final long MAX_UNITS = 36_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};
  private static final double PERCENT = 100;

  private final MetricRegistry registry;
  private final String name;
  private final String label;
  private final int most;
  private final Map<String, AbstractHistogram> histograms = new ConcurrentHashMap<>();

  /**
   * Returns empty histograms.
   *
   * @param name the name of the metric
   * @param label the label that tells the histograms apart
   * @param most most histograms; further label values are not recorded
   */
  public LatencyHistograms(MetricRegistry registry, String name, String label, int most) {
    this.registry = registry;
    this.name = name;
    this.label = label;
    this.most = most;
  }

  /** Records one latency under a label value. */
  public void record(String value, long nanos) {
    AbstractHistogram histogram = histograms.get(value);
    if (histogram == null) {
      if (histograms.size() >= most) {
        return;
      }
      histogram = histograms.computeIfAbsent(value, this::register);
    }
    synchronized (histogram) {
      histogram.recordValue(Math.min(MAX_UNITS, Math.max(0, nanos / UNIT_NANOS)));
    }
  }

  private AbstractHistogram register(String value) {
    AbstractHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    histogram.setAutoResize(true);
    Gauge<Map<String, Double>> gauge = () -> quantiles(histogram);
    registry.gauge(MetricsPage.labelled(name, label, value), () -> gauge);
    return histogram;
  }

  private static Map<String, Double> quantiles(AbstractHistogram histogram) {
    Map<String, Double> shown = new TreeMap<>();
    synchronized (histogram) {
      for (double quantile : QUANTILES) {
        long units = histogram.getValueAtPercentile(quantile * PERCENT);
        shown.put(Double.toString(quantile), units / UNITS_PER_MILLI);
      }
    }
    return shown;
  }
}
