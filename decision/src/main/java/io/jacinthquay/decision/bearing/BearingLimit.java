package io.jacinthquay.decision.bearing;

import java.util.Objects;

/**
 * The number of requests that one upstream is held to bear at a time.
 *
 * <p>A fresh upstream starts at its floor. The limit grows only when work that filled at least half
 * of it ends on target: by {@link BearingOptions#warmGrowth} for each such end while warming, then
 * by {@link BearingOptions#steadyGrowth} for a limit's worth of them. Where only load reports tell
 * what the upstream bears, it does not grow before the first of them. Overload halves it and ends
 * the warming. A cold reading, or a jump of the time to first token, returns it to the floor. Not
 * safe for use by several threads.
 *
 * <pre>{@code
 * BearingLimit bearing = new BearingLimit(spec, BearingOptions.defaults());
 * bearing.reported(now, report);
 * bearing.completed(now, true, firstTokenNanos, inFlight);
 * boolean room = inFlight < bearing.limit();
 * }</pre>
 */
public final class BearingLimit {
  private static final double RECENT_WEIGHT = 0.3;
  private static final double USUAL_WEIGHT = 0.02;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final UpstreamSpec spec;
  private final BearingOptions options;
  private double limit;
  private int stated;
  private boolean mayGrow;
  private boolean warming = true;
  private boolean wasCold;
  private int completions;
  private double recentNanos;
  private double usualNanos;
  private long halvedAtNanos = NEVER;

  /** Starts at the floor of the upstream. */
  public BearingLimit(UpstreamSpec spec, BearingOptions options) {
    this.spec = Objects.requireNonNull(spec, "spec");
    this.options = Objects.requireNonNull(options, "options");
    this.limit = spec.floor();
    this.mayGrow = !spec.limitIsReported();
  }

  /** Returns the most requests at a time, at least the floor unless the upstream states less. */
  public int limit() {
    return (int) Math.min(limit, ceiling());
  }

  /** Returns whether the limit is still in its fast start. */
  public boolean warming() {
    return warming;
  }

  /** Starts from what was learned elsewhere; ignored once anything was learned here. */
  public void restore(int learned, boolean stillWarming) {
    if (completions == 0 && !wasCold) {
      limit = Math.max(spec.floor(), Math.min(learned, ceiling()));
      warming = stillWarming;
    }
  }

  /**
   * Takes in that work ended.
   *
   * @param onTarget whether it met the targets of its class
   * @param firstTokenNanos time to its first token; negative if none came
   * @param inFlight requests at the upstream just before the end
   */
  public void completed(long nowNanos, boolean onTarget, long firstTokenNanos, int inFlight) {
    if (firstTokenNanos >= 0 && jumped(firstTokenNanos)) {
      turnedCold();
      return;
    }
    boolean filled = 2L * inFlight >= limit();
    if (!mayGrow || !onTarget || !filled) {
      return;
    }
    limit += warming ? options.warmGrowth() : options.steadyGrowth() / limit;
    if (limit >= ceiling()) {
      limit = ceiling();
      warming = false;
    }
  }

  /** Takes in that the upstream refused work or said that it is overloaded. */
  public void overloaded(long nowNanos) {
    if (nowNanos - halvedAtNanos < options.cooldownNanos()) {
      return;
    }
    halvedAtNanos = nowNanos;
    limit = Math.max(spec.floor(), limit() / 2);
    warming = false;
  }

  /** Takes in a load report. */
  public void reported(long nowNanos, LoadReport report) {
    stated = report.stated();
    mayGrow = true;
    if (report.cold() && !wasCold) {
      turnedCold();
    }
    wasCold = report.cold();
    if (report.queued() > 0 && report.running() + report.queued() > spec.floor()) {
      overloaded(nowNanos);
    }
  }

  private void turnedCold() {
    limit = spec.floor();
    warming = true;
    completions = 0;
  }

  /** Returns whether recent times to first token are far above the usual ones. */
  private boolean jumped(long firstTokenNanos) {
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
    return stated > 0 ? Math.min(stated, spec.ceiling()) : spec.ceiling();
  }
}
