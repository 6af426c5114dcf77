package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.UpstreamId;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes one line for each request that ended, within a bounded rate.
 *
 * <p>Requests that failed or were turned away come first: those that were served are left out first
 * when the rate is used up. Lines left out are counted in the next line.
 */
final class RequestJournal {
  private static final Logger log = LogManager.getLogger();

  /** Lines a second for requests that were served. */
  private static final double SERVED_PER_SECOND = 10;

  /** Lines a second for requests that were not. */
  private static final double FAILED_PER_SECOND = 50;

  private final LongSupplier clock;
  private final ForwardMetrics metrics;
  private double served = SERVED_PER_SECOND;
  private double failed = FAILED_PER_SECOND;
  private long filledAt;
  private long leftOut;

  RequestJournal(LongSupplier clock, ForwardMetrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
    this.filledAt = clock.getAsLong();
  }

  /** A send was stopped since the caller has its final answer; never left out. */
  void sentAfterEnd(ForwardRun run, UpstreamId upstream) {
    log.error(
        "request {} was about to be sent to {} after its final answer {}",
        run.attemptId(),
        upstream,
        run.story());
  }

  void ended(ForwardRun run, String outcome, boolean success) {
    long now = clock.getAsLong();
    double seconds = (now - filledAt) / 1e9;
    filledAt = now;
    served = Math.min(SERVED_PER_SECOND, served + seconds * SERVED_PER_SECOND);
    failed = Math.min(FAILED_PER_SECOND, failed + seconds * FAILED_PER_SECOND);
    if (success ? served < 1 : failed < 1) {
      leftOut++;
      metrics.leftOut();
      return;
    }
    if (success) {
      served--;
    } else {
      failed--;
    }
    log.info("request {} {} {} leftOut={}", run.attemptId(), outcome, run.story(), leftOut);
    leftOut = 0;
  }
}
