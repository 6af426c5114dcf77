package io.jacinthquay.router.service.report;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.decision.slo.SloKey;
import io.jacinthquay.decision.slo.SloRecorder;
import io.jacinthquay.decision.slo.SloSample;
import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** Counts requests and records their latency by class and customer. */
public final class RouterMetrics implements RequestReporter {
  /** Maximum number of classes with histograms of their own. */
  private static final int MAX_CLASSES = 256;

  /** Maximum number of customers with histograms of their own. */
  private static final int MAX_CUSTOMERS = 8_192;

  /** Lowest code that counts as a failure of the service; lower ones are caller errors. */
  private static final int FIRST_SERVICE_CODE = ResultCode.KEYS_NOT_CURRENT.number();

  /** Further codes that are caller errors and don't count against the objective. */
  private static final Set<ResultCode> CALLER_ERRORS =
      Set.of(
          ResultCode.CUSTOMER_LIMIT,
          ResultCode.KEY_WITHDRAWN_DURING_RUN,
          ResultCode.CLAIM_BODY_DIFFERS,
          ResultCode.CLAIM_IN_PROGRESS,
          ResultCode.CLAIM_OUTCOME_UNKNOWN);

  private final SloRecorder slo = new SloRecorder();
  private final MetricRegistry registry;
  private final Function<ClassName, Optional<ClassPolicy>> classes;
  private final LatencyHistograms firstByClass;
  private final LatencyHistograms tokenByClass;
  private final LatencyHistograms wholeByClass;
  private final LatencyHistograms firstByCustomer;
  private final LatencyHistograms tokenByCustomer;
  private final LatencyHistograms wholeByCustomer;

  /**
   * Returns metrics.
   *
   * @param registry the registry of the metrics
   * @param classes returns the policy in force of a class
   */
  public RouterMetrics(
      MetricRegistry registry, Function<ClassName, Optional<ClassPolicy>> classes) {
    this.registry = registry;
    this.classes = classes;
    this.firstByClass = byClass("jq_first_token_ms");
    this.tokenByClass = byClass("jq_inter_token_ms");
    this.wholeByClass = byClass("jq_whole_ms");
    this.firstByCustomer = byCustomer("jq_customer_first_token_ms");
    this.tokenByCustomer = byCustomer("jq_customer_inter_token_ms");
    this.wholeByCustomer = byCustomer("jq_customer_whole_ms");
  }

  private LatencyHistograms byClass(String name) {
    return new LatencyHistograms(registry, name, "class", MAX_CLASSES);
  }

  private LatencyHistograms byCustomer(String name) {
    return new LatencyHistograms(registry, name, "customer", MAX_CUSTOMERS);
  }

  /** Registers a gauge whose value is read on each request for the metrics. */
  public void gauge(String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    registry.gauge(name, () -> gauge);
  }

  @Override
  public void report(RequestRecord entry) {
    count("jq_requests_total", "code", entry.code().map(ResultCode::name).orElse("OK"));
    count("jq_outcomes_total", "outcome", entry.outcome().text());
    if (entry.className().isEmpty()) {
      return;
    }
    String name = entry.className().get().value();
    count("jq_class_requests_total", "class", name);
    add("jq_class_output_tokens_total", "class", name, entry.outputTokens());
    add("jq_class_attempts_total", "class", name, entry.attempts());
    if (entry.code().isEmpty() && entry.firstByteNanos() >= 0) {
      recordLatency(entry, name);
    }
    countObjective(entry, name);
  }

  private void recordLatency(RequestRecord entry, String name) {
    String customer = entry.customer().orElseThrow().value();
    if (entry.firstTokenTimed()) {
      firstByClass.record(name, entry.firstByteNanos());
      firstByCustomer.record(customer, entry.firstByteNanos());
    }
    wholeByClass.record(name, entry.wholeNanos());
    wholeByCustomer.record(customer, entry.wholeNanos());
    if (entry.firstTokenTimed() && entry.outputTokens() > 1) {
      tokenByClass.record(name, interTokenNanos(entry));
      tokenByCustomer.record(customer, interTokenNanos(entry));
    }
  }

  private static long interTokenNanos(RequestRecord entry) {
    long streamingNanos = entry.wholeNanos() - entry.firstByteNanos();
    return streamingNanos / Math.max(1, entry.outputTokens() - 1);
  }

  private void countObjective(RequestRecord entry, String name) {
    Optional<ClassPolicy> policy = classes.apply(entry.className().get());
    boolean callerLeft = entry.code().isEmpty() && entry.firstByteNanos() < 0;
    if (policy.isEmpty() || callerLeft || entry.code().map(this::isCallerError).orElse(false)) {
      return;
    }
    SloKey key = new SloKey(entry.className().get(), entry.customer().orElseThrow());
    boolean met =
        slo.record(key, policy.get(), sample(entry, policy.get()), System.currentTimeMillis());
    count("jq_objective_requests_total", "class", name);
    if (met) {
      count("jq_objective_met_total", "class", name);
    }
  }

  private static SloSample sample(RequestRecord entry, ClassPolicy policy) {
    if (entry.code().isPresent()) {
      return SloSample.failed();
    }
    if (!entry.firstTokenTimed()) {
      return SloSample.untimed(entry.wholeNanos() <= allowedWholeNanos(entry, policy));
    }
    long tokenNanos = entry.outputTokens() < 2 ? 0 : interTokenNanos(entry);
    return new SloSample(
        true,
        Math.max(1, TimeUnit.NANOSECONDS.toMicros(entry.firstByteNanos())),
        TimeUnit.NANOSECONDS.toMicros(Math.max(0, tokenNanos)));
  }

  /** Returns the target time of an answer that is not streamed, in nanoseconds. */
  private static double allowedWholeNanos(RequestRecord entry, ClassPolicy policy) {
    double millis = policy.firstTokenMs() + entry.outputTokens() * policy.interTokenMs();
    return millis * TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Returns how far requests met their targets. */
  public SloSnapshot slo() {
    return slo.snapshot(System.currentTimeMillis());
  }

  private boolean isCallerError(ResultCode code) {
    return code.number() < FIRST_SERVICE_CODE || CALLER_ERRORS.contains(code);
  }

  private void count(String name, String label, String value) {
    add(name, label, value, 1);
  }

  private void add(String name, String label, String value, long amount) {
    registry.counter(MetricsPage.withLabel(name, label, value)).inc(amount);
  }
}
