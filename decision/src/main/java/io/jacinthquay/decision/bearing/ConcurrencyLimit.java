package io.jacinthquay.decision.bearing;

import java.util.Objects;

/**
 * Adaptive concurrency limit of one upstream.
 *
 * <p>A fresh upstream starts at its floor. The limit grows only when requests that use at least
 * half of it end on target: by {@link ConcurrencyLimitOptions#warmGrowth} for each such request
 * during slow start, then by {@link ConcurrencyLimitOptions#steadyGrowth} for a limit's worth of
 * them. If only load reports state the capacity of the upstream, the limit doesn't grow before the
 * first report. Overload halves the limit and ends slow start. A report of a cold upstream, or a
 * jump of the time to first token, resets it to the floor. Not thread-safe.
 *
 * <pre>{@code
 * ConcurrencyLimit limit = new ConcurrencyLimit(spec, ConcurrencyLimitOptions.defaults());
 * limit.recordReport(now, report);
 * limit.completed(now, true, firstTokenNanos, inFlight);
 * boolean room = inFlight < limit.limit();
 * }</pre>
 */
public final class ConcurrencyLimit {
  /** Smoothing weight of the newest value in the recent time to first token. */
  private static final double RECENT_WEIGHT = 0.3;

  /** Smallest smoothing weight of the newest value in the usual time to first token. */
  private static final double USUAL_WEIGHT = 0.02;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final UpstreamSpec spec;
  private final ConcurrencyLimitOptions options;
  private double limit;
  private int statedLimit;
  private boolean mayGrow;
  private boolean warming = true;
  private boolean wasCold;
  private int completions;
  private double recentNanos;
  private double usualNanos;
  private long lastHalvedNanos = NEVER;

  /** Returns a limit at the floor of the upstream. */
  public ConcurrencyLimit(UpstreamSpec spec, ConcurrencyLimitOptions options) {
    this.spec = Objects.requireNonNull(spec, "spec");
    this.options = Objects.requireNonNull(options, "options");
    this.limit = spec.floor();
    this.mayGrow = !spec.limitIsReported();
  }

  /**
   * Returns the limit in concurrent requests, at least the floor unless the upstream states less.
   */
  public int limit() {
    return (int) Math.min(limit, ceiling());
  }

  /** Returns whether the limit is still in slow start. */
  public boolean warming() {
    return warming;
  }

  /** Restores a limit learned elsewhere; ignored after the first completion or cold report here. */
  public void restore(int learnedLimit, boolean stillWarming) {
    if (completions == 0 && !wasCold) {
      limit = Math.max(spec.floor(), Math.min(learnedLimit, ceiling()));
      warming = stillWarming;
    }
  }

  /**
   * Records that a request ended.
   *
   * @param onTarget whether it met the targets of its class
   * @param firstTokenNanos time to its first token, in nanoseconds; negative if there was none
   * @param inFlight requests at the upstream just before the end
   */
  public void completed(long nowNanos, boolean onTarget, long firstTokenNanos, int inFlight) {
    if (firstTokenNanos >= 0 && hasLatencyJumped(firstTokenNanos)) {
      reset();
      return;
    }
    boolean isUsed = 2L * inFlight >= limit();
    if (!mayGrow || !onTarget || !isUsed) {
      return;
    }
    limit += warming ? options.warmGrowth() : options.steadyGrowth() / limit;
    if (limit >= ceiling()) {
      limit = ceiling();
      warming = false;
    }
  }

  /** Halves the limit because the upstream refused a request or reported overload. */
  public void recordOverload(long nowNanos) {
    if (nowNanos - lastHalvedNanos < options.cooldownNanos()) {
      return;
    }
    lastHalvedNanos = nowNanos;
    limit = Math.max(spec.floor(), limit() / 2);
    warming = false;
  }

  /** Applies a load report. */
  public void recordReport(long nowNanos, LoadReport report) {
    statedLimit = report.stated();
    mayGrow = true;
    if (report.cold() && !wasCold) {
      reset();
    }
    wasCold = report.cold();
    if (report.queued() > 0 && report.running() + report.queued() > spec.floor()) {
      recordOverload(nowNanos);
    }
  }

  private void reset() {
    limit = spec.floor();
    warming = true;
    completions = 0;
  }

  /** Returns whether the recent time to first token is far above the usual one. */
  private boolean hasLatencyJumped(long firstTokenNanos) {
    completions++;
    if (completions == 1) {
      recentNanos = firstTokenNanos;
      usualNanos = firstTokenNanos;
      return false;
    }
    recentNanos += RECENT_WEIGHT * (firstTokenNanos - recentNanos);
    double weight = Math.max(USUAL_WEIGHT, 1.0 / completions);
    usualNanos += weight * (firstTokenNanos - usualNanos);
    return completions > options.warmCompletions()
        && recentNanos > options.coldFactor() * usualNanos;
  }

  private int ceiling() {
    return statedLimit > 0 ? Math.min(statedLimit, spec.ceiling()) : spec.ceiling();
  }
}
