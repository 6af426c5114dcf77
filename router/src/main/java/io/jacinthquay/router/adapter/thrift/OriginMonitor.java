package io.jacinthquay.router.adapter.thrift;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.router.service.forward.ForwardMetrics;
import io.jacinthquay.runtime.LogThrottle;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Counts and logs what is known of the versions that began streams. Thread-safe. */
final class OriginMonitor {
  private static final Logger log = LogManager.getLogger();

  /** How a question was answered. */
  enum Outcome {
    /** This router knew the stream. */
    OWN("own"),
    /** The leader knew the stream. */
    FOUND("found"),
    /** The pool has had one version for longer than streams last. */
    ONLY_VERSION("only_version"),
    /** This router knows several versions that may have begun the stream. */
    CONFLICT("conflict"),
    /** The stream belongs to another pool than its route leads to. */
    OTHER_POOL("other_pool"),
    /** Nobody knows the stream. */
    UNKNOWN("unknown"),
    /** No leader answered in time. */
    NO_ANSWER("no_answer");

    private final String label;

    Outcome(String label) {
      this.label = label;
    }

    private boolean isKnown() {
      return this == OWN || this == FOUND || this == ONLY_VERSION;
    }
  }

  private final LongSupplier clock;
  private final Map<Outcome, Counter> answers = new EnumMap<>(Outcome.class);
  private final Counter recorded;
  private final Counter dropped;
  private final Counter reported;
  private final Counter failedCalls;
  private final LogThrottle lines;

  /**
   * Registers the metrics.
   *
   * @param clock monotonic, in nanoseconds
   */
  OriginMonitor(ForwardMetrics metrics, StreamOriginLog origins, LongSupplier clock) {
    this.clock = clock;
    this.lines = new LogThrottle(clock.getAsLong());
    MetricRegistry registry = metrics.registry();
    metrics.gauge("jq_forward_stream_origins", origins::size);
    recorded = registry.counter("jq_forward_stream_origins_recorded_total");
    dropped = registry.counter("jq_forward_stream_origins_dropped_total");
    reported = registry.counter("jq_forward_stream_origins_reported_total");
    failedCalls = registry.counter("jq_forward_stream_origin_failed_calls_total");
    for (Outcome outcome : Outcome.values()) {
      answers.put(
          outcome,
          registry.counter(
              "jq_forward_stream_origin_answers_total{outcome=\"" + outcome.label + "\"}"));
    }
  }

  void recordBegun() {
    recorded.inc();
  }

  void recordDropped() {
    dropped.inc();
    logLine();
  }

  void recordReported(int streams) {
    reported.inc(streams);
  }

  void recordAnswer(Outcome outcome) {
    answers.get(outcome).inc();
    if (!outcome.isKnown()) {
      logLine();
    }
  }

  /** Records that a control VM gave no usable answer; the link logs which ones it reaches. */
  void recordFailedCall(String address, Exception cause) {
    failedCalls.inc();
    log.debug("control VM {} could not be asked for streams: {}", address, cause.toString());
  }

  private void logLine() {
    if (!lines.tryAcquire(clock.getAsLong())) {
      return;
    }
    log.warn(
        "streams whose first version is not known: {} unknown, {} in conflict, {} of another pool,"
            + " {} without an answer; {} not recorded for lack of room; {} failed calls; since the start",
        answers.get(Outcome.UNKNOWN).getCount(),
        answers.get(Outcome.CONFLICT).getCount(),
        answers.get(Outcome.OTHER_POOL).getCount(),
        answers.get(Outcome.NO_ANSWER).getCount(),
        dropped.getCount(),
        failedCalls.getCount());
  }
}
