package io.jacinthquay.router.service.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.decision.pace.SlowStart;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.StreamOrigins;
import io.jacinthquay.router.service.report.LatencyHistograms;
import java.util.Locale;
import java.util.function.LongSupplier;

/** Counters and latency histograms of forwarded requests; docs/METRICS.md lists them. */
public final class ForwardMetrics {
  /** Maximum number of routes with a histogram of their own. */
  private static final int MAX_ROUTES = 64;

  private final MetricRegistry registry = new MetricRegistry();
  private final LatencyHistograms firstLatency =
      new LatencyHistograms(registry, "jq_forward_first_milliseconds", "route", MAX_ROUTES);
  private final Counter sentAfterEnd = registry.counter("jq_forward_sent_after_end_total");
  private final LatencyHistograms wholeLatency =
      new LatencyHistograms(registry, "jq_forward_whole_milliseconds", "route", MAX_ROUTES);

  /** Returns the registry that the metrics page shows. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Registers a gauge whose value is read on each request for the metrics. */
  public void gauge(String name, LongSupplier value) {
    registry.gauge(name, () -> value::getAsLong);
  }

  /** Shows the upstreams of a pool that are in slow start. */
  void addSlowStart(PoolName pool, SlowStart slowStart) {
    String label = "{pool=\"" + pool.value() + "\"}";
    gauge("jq_forward_slow_start_upstreams" + label, () -> figures(slowStart, pool).upstreams());
    gauge(
        "jq_forward_slow_start_window" + label,
        () -> Math.round(figures(slowStart, pool).window()));
  }

  private static SlowStart.Figures figures(SlowStart slowStart, PoolName pool) {
    return slowStart.figures().getOrDefault(pool, SlowStart.Figures.NONE);
  }

  /**
   * Counts a request that ended and records its whole latency.
   *
   * @param outcome the outcome as in the log line of the request
   */
  void recordEnd(String outcome, String route, long nanos) {
    registry.counter("jq_forward_requests_total{outcome=\"" + outcome + "\"}").inc();
    wholeLatency.record(route, nanos);
  }

  /** Records the time until the answer of a request began. */
  void recordFirst(String route, long nanos) {
    firstLatency.record(route, nanos);
  }

  /**
   * Counts a send to an upstream.
   *
   * @param repeated whether the request was sent before
   */
  void countSend(boolean repeated) {
    registry.counter("jq_forward_sends_total{again=\"" + repeated + "\"}").inc();
  }

  /**
   * Counts a retry that the budget of a pool allowed or refused.
   *
   * @param taken whether the budget allowed it
   */
  void countRetry(String pool, boolean taken) {
    registry
        .counter("jq_forward_retries_total{pool=\"" + pool + "\",taken=\"" + taken + "\"}")
        .inc();
  }

  /**
   * Counts a send whose answer broke off or was invalid.
   *
   * @param begun whether the answer had begun
   */
  void countBrokenSend(boolean begun) {
    registry.counter("jq_forward_broken_sends_total{begun=\"" + begun + "\"}").inc();
  }

  /**
   * Counts a rejected request.
   *
   * @param reason one of a few words
   */
  void countRejection(String pool, String reason) {
    registry
        .counter("jq_forward_rejections_total{pool=\"" + pool + "\",reason=\"" + reason + "\"}")
        .inc();
  }

  /** Counts a stream that a caller takes up. */
  void countTakeUp(StreamOrigins.Knowledge knowledge) {
    registry
        .counter(
            "jq_forward_take_ups_total{origin=\""
                + knowledge.name().toLowerCase(Locale.ROOT)
                + "\"}")
        .inc();
  }

  /** Counts a connection of a caller that ended before the answer to its request was complete. */
  void countUnansweredClose(DisconnectReason reason) {
    registry.counter("jq_forward_unanswered_closes_total{reason=\"" + reason.text() + "\"}").inc();
  }

  /** Counts a send that was cancelled on connect because the caller has its final answer. */
  void countSendAfterEnd() {
    sentAfterEnd.inc();
  }

  /** Counts a log line that was dropped by the rate limit. */
  void countDroppedLogLine() {
    registry.counter("jq_forward_log_lines_left_out_total").inc();
  }
}
