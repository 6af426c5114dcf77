package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.UpstreamId;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs one line for each request that ended, up to a rate limit.
 *
 * <p>Requests that failed or were refused have a limit of their own, so that served requests can't
 * displace them. The next line states how many lines were dropped.
 */
final class RequestJournal {
  private static final Logger log = LogManager.getLogger();

  /** Limit for requests that were served, in lines per second. */
  private static final double SERVED_PER_SECOND = 10;

  /** Limit for requests that failed or were refused, in lines per second. */
  private static final double FAILED_PER_SECOND = 50;

  private final LongSupplier clock;
  private final ForwardMetrics metrics;
  private double servedTokens = SERVED_PER_SECOND;
  private double failedTokens = FAILED_PER_SECOND;
  private long lastRefillNanos;
  private long droppedLines;

  RequestJournal(LongSupplier clock, ForwardMetrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
    this.lastRefillNanos = clock.getAsLong();
  }

  /** Logs a send that was cancelled because the caller has its final answer; not rate limited. */
  void logSendAfterEnd(ForwardExchange exchange, UpstreamId upstream) {
    log.error(
        "request {} was about to be sent to {} after its final answer {}",
        exchange.attemptId(),
        upstream,
        exchange.summary());
  }

  void logEnd(ForwardExchange exchange, String outcome, boolean success) {
    long now = clock.getAsLong();
    double elapsedSeconds = (now - lastRefillNanos) / 1e9;
    lastRefillNanos = now;
    servedTokens = Math.min(SERVED_PER_SECOND, servedTokens + elapsedSeconds * SERVED_PER_SECOND);
    failedTokens = Math.min(FAILED_PER_SECOND, failedTokens + elapsedSeconds * FAILED_PER_SECOND);
    if (success ? servedTokens < 1 : failedTokens < 1) {
      droppedLines++;
      metrics.countDroppedLogLine();
      return;
    }
    if (success) {
      servedTokens--;
    } else {
      failedTokens--;
    }
    log.info(
        "request {} {} {} leftOut={}",
        exchange.attemptId(),
        outcome,
        exchange.summary(),
        droppedLines);
    droppedLines = 0;
  }
}
