package io.jacinthquay.router.service.report;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;

/** Latency histograms by the values of one label, exported as quantiles in milliseconds. */
public final class LatencyHistograms {
  /** Resolution of a histogram, in nanoseconds. */
  private static final long UNIT_NANOS = 100_000;

  private static final double UNITS_PER_MILLI = 10;

  /** Largest recorded latency: one hour; longer ones are recorded as one hour. */
  private static final long MAX_UNITS = 36_000_000;

  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};
  private static final double PERCENT = 100;

  private final MetricRegistry registry;
  private final String name;
  private final String label;
  private final int maxHistograms;
  private final Map<String, AbstractHistogram> histograms = new ConcurrentHashMap<>();

  /**
   * Returns empty histograms.
   *
   * @param name the name of the metric
   * @param label the label whose values have a histogram each
   * @param maxHistograms maximum number of histograms; further label values are not recorded
   */
  public LatencyHistograms(MetricRegistry registry, String name, String label, int maxHistograms) {
    this.registry = registry;
    this.name = name;
    this.label = label;
    this.maxHistograms = maxHistograms;
  }

  /** Records a latency for a label value. */
  public void record(String value, long nanos) {
    AbstractHistogram histogram = histograms.get(value);
    if (histogram == null) {
      if (histograms.size() >= maxHistograms) {
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
    registry.gauge(MetricsPage.withLabel(name, label, value), () -> gauge);
    return histogram;
  }

  private static Map<String, Double> quantiles(AbstractHistogram histogram) {
    Map<String, Double> quantiles = new TreeMap<>();
    synchronized (histogram) {
      for (double quantile : QUANTILES) {
        long units = histogram.getValueAtPercentile(quantile * PERCENT);
        quantiles.put(Double.toString(quantile), units / UNITS_PER_MILLI);
      }
    }
    return quantiles;
  }
}
