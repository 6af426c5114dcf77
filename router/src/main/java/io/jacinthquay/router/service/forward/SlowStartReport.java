package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.UpstreamSelector;
import io.jacinthquay.decision.pace.SlowStart;
import io.jacinthquay.decision.pace.SlowStartListener;
import io.jacinthquay.decision.pace.StartReason;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs when upstreams enter and leave slow start, up to a rate limit, and shows their windows. */
final class SlowStartReport implements SlowStartListener {
  private static final Logger log = LogManager.getLogger();

  /** Limit in lines per second; an upstream that flaps writes about two. */
  private static final double LINES_PER_SECOND = 5;

  /** Most lines at once; enough for the upstreams of a failure domain that all come back. */
  private static final double MAX_LINES = 40;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ForwardMetrics metrics;
  private final LongSupplier clock;
  private final SlowStart slowStart;
  private double lines = MAX_LINES;
  private long refilledNanos;
  private long leftOut;

  private SlowStartReport(ForwardMetrics metrics, LongSupplier clock) {
    this.metrics = metrics;
    this.clock = clock;
    this.slowStart = new SlowStart(new SplittableRandom(), this);
    this.refilledNanos = clock.getAsLong();
  }

  /** Limits by slow start what a selector that has no upstreams yet sends. */
  static void enable(UpstreamSelector selector, ForwardMetrics metrics, LongSupplier clock) {
    selector.paceBy(new SlowStartReport(metrics, clock).slowStart);
  }

  @Override
  public void started(UpstreamId upstream, PoolName pool, StartReason reason) {
    metrics.addSlowStart(pool, slowStart);
    if (takesLine()) {
      log.info(
          "upstream {} of pool {} is in slow start: {} leftOut={}",
          upstream,
          pool,
          reason,
          takeLeftOut());
    }
  }

  @Override
  public void ended(UpstreamId upstream, PoolName pool, boolean proved, double window, long nanos) {
    if (takesLine()) {
      log.info(
          "upstream {} of pool {} left slow start: proved={} window={} ageMillis={} leftOut={}",
          upstream,
          pool,
          proved,
          Math.round(window),
          nanos / NANOS_PER_MILLI,
          takeLeftOut());
    }
  }

  private boolean takesLine() {
    long now = clock.getAsLong();
    double refill = (now - refilledNanos) / NANOS_PER_SECOND * LINES_PER_SECOND;
    lines = Math.min(MAX_LINES, lines + refill);
    refilledNanos = now;
    if (lines < 1) {
      leftOut++;
      return false;
    }
    lines--;
    return true;
  }

  private long takeLeftOut() {
    long count = leftOut;
    leftOut = 0;
    return count;
  }
}
