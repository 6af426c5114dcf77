package io.jacinthquay.control.service;

import io.jacinthquay.control.port.Fleet;
import io.jacinthquay.control.port.LeaderLease;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reports the usage of each window once it is complete.
 *
 * <p>The counts of a window are committed before they are first sent, so that every report of the
 * window is the same, whichever leader sends it.
 */
public final class UsageReporter {
  private static final Logger log = LogManager.getLogger();

  /** Time after the end of a window in which all routers report its counts, in milliseconds. */
  private static final long SETTLE_MILLIS = 2_500;

  /**
   * Longest wait after the end of a window for routers that have stopped reporting, in
   * milliseconds. Usage is due ten seconds after the end, which leaves time for a change of the
   * leader.
   */
  private static final long MAX_WAIT_MILLIS = 6_500;

  /**
   * Time after the end of a window from which a router's report holds all requests that began in
   * it, in milliseconds.
   */
  private static final long COMPLETE_MILLIS = 1_000;

  /** Number of windows before the newest that a new leader reports again. */
  private static final int REPEATED_WINDOWS = 3;

  /** Timeout for committing the counts of a window, in seconds. */
  private static final long SEAL_TIMEOUT_SECONDS = 2;

  /** The outcome of a report. */
  private enum ReportOutcome {
    /** The platform accepted it, or there was nothing to report. */
    ACCEPTED,
    /** The platform rejected it. */
    REJECTED,
    /** It is not known whether the platform accepted it. */
    UNKNOWN
  }

  private final long windowMillis;
  private final ControlStore store;
  private final RouterRegistry routers;
  private final Fleet fleet;
  private long term = -1;
  private long lastReported = Long.MAX_VALUE;
  private final Set<Long> rejected = new TreeSet<>();

  /**
   * Returns a reporter.
   *
   * @param window length of a window
   * @param store commits the counts
   * @param routers the counts that routers report
   * @param fleet the platform that receives the reports
   */
  public UsageReporter(Duration window, ControlStore store, RouterRegistry routers, Fleet fleet) {
    this.windowMillis = window.toMillis();
    this.store = store;
    this.routers = routers;
    this.fleet = fleet;
  }

  /**
   * Reports the windows that are complete and not reported yet.
   *
   * @param lease the right to call the platform
   * @param wallMillis the time of day, in milliseconds since the epoch
   */
  public void run(LeaderLease lease, long wallMillis) {
    long lastComplete = Math.floorDiv(wallMillis - SETTLE_MILLIS, windowMillis) - 1;
    if (lease.fencingToken() != term) {
      term = lease.fencingToken();
      lastReported = lastComplete - REPEATED_WINDOWS;
      rejected.clear();
    }
    while (lastReported < lastComplete && lease.heldCheck().getAsBoolean()) {
      long window = lastReported + 1;
      if (mustWait(window, wallMillis)) {
        return;
      }
      ReportOutcome outcome = report(lease, window);
      if (outcome == ReportOutcome.UNKNOWN) {
        return;
      }
      resendRejected(lease, window - REPEATED_WINDOWS);
      if (outcome == ReportOutcome.REJECTED) {
        rejected.add(window);
      }
      lastReported++;
    }
  }

  /**
   * Sends each rejected window once more after each later window, and drops those that are too old.
   */
  private void resendRejected(LeaderLease lease, long oldest) {
    for (long window : List.copyOf(rejected)) {
      if (window < oldest) {
        log.warn("usage of window {} dropped: the platform rejected every report of it", window);
        rejected.remove(window);
      } else if (report(lease, window) == ReportOutcome.ACCEPTED) {
        rejected.remove(window);
      }
    }
  }

  /**
   * Returns whether to wait for the counts of a router that is briefly disconnected, since sealed
   * counts can't change.
   */
  private boolean mustWait(long window, long wallMillis) {
    long millisSinceEnd = wallMillis - (window + 1) * windowMillis;
    return millisSinceEnd < MAX_WAIT_MILLIS
        && !store.tables().sealedCounts().containsKey(window)
        && !routers.allReportedWithin(millisSinceEnd - COMPLETE_MILLIS);
  }

  private ReportOutcome report(LeaderLease lease, long window) {
    ControlTables tables = store.tables();
    if (!tables.sealedCounts().containsKey(window)) {
      Map<String, Long> counts = routers.counts(window);
      if (counts.isEmpty()) {
        return ReportOutcome.ACCEPTED;
      }
      if (!seal(window, counts)) {
        return ReportOutcome.UNKNOWN;
      }
      tables = store.tables();
    }
    if (!tables.sealedCounts().containsKey(window)) {
      return ReportOutcome.ACCEPTED;
    }
    Map<CustomerId, Long> counts = new HashMap<>();
    tables
        .sealedCounts()
        .get(window)
        .get()
        .forEach((name, n) -> counts.put(new CustomerId(name), n));
    Either<Failure, Void> result = fleet.reportUsage(lease, window, counts);
    log.info(
        "usage of window {} fence={} counts={} sent={}",
        window,
        lease.fencingToken(),
        counts,
        result);
    return result.fold(
        failure ->
            failure.code() == ResultCode.UPSTREAM_REFUSED
                ? ReportOutcome.REJECTED
                : ReportOutcome.UNKNOWN,
        accepted -> ReportOutcome.ACCEPTED);
  }

  private boolean seal(long window, Map<String, Long> counts) {
    try {
      Either<Failure, Void> sealed =
          store
              .propose(ControlState.sealCommand(window, counts))
              .toCompletableFuture()
              .get(SEAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (sealed.isLeft()) {
        log.warn("could not seal the usage of window {}: {}", window, sealed.getLeft().detail());
      }
      return sealed.isRight();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } catch (ExecutionException | TimeoutException e) {
      log.warn("could not seal the usage of window {}: {}", window, String.valueOf(e));
      return false;
    }
  }
}
