package io.jacinthquay.router.service.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.router.service.report.LatencyHistograms;
import java.util.function.LongSupplier;

/** Counters and latency histograms of forwarded requests; docs/METRICS.md lists them. */
public final class ForwardMetrics {
  private static final int MOST_ROUTES = 64;

  private final MetricRegistry registry = new MetricRegistry();
  private final LatencyHistograms first =
      new LatencyHistograms(registry, "jq_forward_first_milliseconds", "route", MOST_ROUTES);
  private final Counter sentAfterEnd = registry.counter("jq_forward_sent_after_end_total");
  private final LatencyHistograms whole =
      new LatencyHistograms(registry, "jq_forward_whole_milliseconds", "route", MOST_ROUTES);

  /** Returns the registry behind the page of metrics. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Shows a value that is read whenever somebody asks. */
  public void gauge(String name, LongSupplier value) {
    registry.gauge(name, () -> value::getAsLong);
  }

  /** A request ended; outcomes are the first words of its log line. */
  void ended(String outcome, String route, long nanos) {
    registry.counter("jq_forward_requests_total{outcome=\"" + outcome + "\"}").inc();
    whole.record(route, nanos);
  }

  /** The answer of a request began. */
  void first(String route, long nanos) {
    first.record(route, nanos);
  }

  /** A request was sent to an upstream. */
  void sent(boolean again) {
    registry.counter("jq_forward_sends_total{again=\"" + again + "\"}").inc();
  }

  /** A send was stopped at the last moment since the caller has the final answer. */
  void sentAfterEnd() {
    sentAfterEnd.inc();
  }

  /** Log lines were left out to keep the rate. */
  void leftOut() {
    registry.counter("jq_forward_log_lines_left_out_total").inc();
  }
}
