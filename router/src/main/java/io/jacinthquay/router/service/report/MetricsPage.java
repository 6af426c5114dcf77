package io.jacinthquay.router.service.report;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Formats the metrics of a registry as JSON and as Prometheus text.
 *
 * <p>Names in the registry have the form {@code name} or <code>name{label="value"}</code>. A gauge
 * that returns a map of numbers gives one value per entry, with the key as label {@code quantile}.
 */
public final class MetricsPage {
  private static final JsonFactory JSON = new JsonFactory();

  private final MetricRegistry registry;

  /** Returns a page of the given registry. */
  public MetricsPage(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Returns all values as one JSON object. */
  public byte[] json() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      for (Map.Entry<String, Number> value : values().entrySet()) {
        json.writeFieldName(value.getKey());
        writeNumber(json, value.getValue());
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return out.toByteArray();
  }

  private static void writeNumber(JsonGenerator json, Number value) throws IOException {
    if (value instanceof Double || value instanceof Float) {
      json.writeNumber(value.doubleValue());
    } else {
      json.writeNumber(value.longValue());
    }
  }

  /** Returns all values in the Prometheus text format. */
  public String prometheus() {
    StringBuilder text = new StringBuilder();
    values().forEach((name, value) -> text.append(name).append(' ').append(value).append('\n'));
    return text.toString();
  }

  private SortedMap<String, Number> values() {
    SortedMap<String, Number> values = new TreeMap<>();
    registry.getMetrics().forEach((name, metric) -> add(values, name, metric));
    return values;
  }

  private static void add(SortedMap<String, Number> values, String name, Metric metric) {
    if (metric instanceof Gauge<?> gauge) {
      addGauge(values, name, gauge.getValue());
    } else if (metric instanceof Counting counting) {
      values.put(name, counting.getCount());
    }
  }

  private static void addGauge(SortedMap<String, Number> values, String name, Object value) {
    if (value instanceof Number number) {
      values.put(name, number);
    } else if (value instanceof Map<?, ?> quantiles) {
      quantiles.forEach(
          (key, number) -> values.put(withLabel(name, "quantile", key), (Number) number));
    }
  }

  /** Returns a metric name with a label added. */
  static String withLabel(String name, String label, Object value) {
    String pair = label + "=\"" + value + "\"";
    return name.endsWith("}")
        ? name.substring(0, name.length() - 1) + "," + pair + "}"
        : name + "{" + pair + "}";
  }
}
