package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.StatedLimits;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.port.UpstreamNotice;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Applies what upstreams say of themselves and logs it; used on one thread but for the metrics. */
final class UpstreamNotices {
  private static final Logger log = LogManager.getLogger();

  /** Shortest time between two lines, in nanoseconds; an upstream may change each answer. */
  private static final long LINE_INTERVAL_NANOS = 1_000_000_000L;

  private final StatedLimits limits;
  private long lineNanos;
  private boolean logged;
  private int leftOut;
  private volatile int limited;

  /** Returns notices of which none has come. */
  UpstreamNotices(StatedLimits limits, ForwardMetrics metrics) {
    this.limits = limits;
    metrics.gauge("jq_forward_limited_upstreams", () -> limited);
  }

  /** Applies the notice of the answer to a request. */
  void record(SentRequest sending, UpstreamNotice notice, long now) {
    UpstreamId upstream = sending.upstream().listing().upstream();
    if (!notice.isReadable()) {
      log(now, upstream, "states a limit that can't be read; what it stated before stays in force");
    } else if (limits.record(sending, notice.requestsPerSecond(), now)) {
      limited = limits.size();
      String text =
          limits.perSecond(upstream).isPresent()
              ? "states that it takes %.3f requests a second from all routers"
                  .formatted(notice.requestsPerSecond().orElse(0))
              : "states no limit any more";
      log(now, upstream, text);
    }
  }

  private void log(long now, UpstreamId upstream, String text) {
    if (logged && now - lineNanos < LINE_INTERVAL_NANOS) {
      leftOut++;
      return;
    }
    log.info("upstream {} {}; leftOut={}", upstream, text, leftOut);
    logged = true;
    lineNanos = now;
    leftOut = 0;
  }
}
