package io.jacinthquay.control.service;

import io.jacinthquay.control.port.Fence;
import io.jacinthquay.control.port.Fleet;
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
 * <p>The counts of a window are committed before they are first sent, so that every report of it is
 * the same, whoever sends it.
 */
public final class UsageDuty {
  private static final Logger log = LogManager.getLogger();

  /** Time after the end of a window until all routers have told of it, in milliseconds. */
  private static final long SETTLE_MILLIS = 2_500;

  /**
   * Time after the end of a window for which routers that are silent are waited for, in
   * milliseconds: usage is due ten seconds after it, which leaves time for a change of the leader.
   */
  private static final long PATIENCE_MILLIS = 6_500;

  /** Time after the end of a window from which a report holds all that began in it. */
  private static final long TOLD_MILLIS = 1_000;

  /** Windows before the newest that a new leader reports again. */
  private static final int REPEATED_WINDOWS = 3;

  private static final long SEAL_SECONDS = 2;

  /** What became of a report. */
  private enum Answer {
    /** It was taken, or there was nothing to report. */
    TAKEN,
    /** It won't be taken as it is. */
    REFUSED,
    /** It isn't known whether it was taken. */
    NONE
  }

  private final long windowMillis;
  private final ControlStore store;
  private final RouterRegistry routers;
  private final Fleet fleet;
  private long reportedTerm = -1;
  private long reportedThrough = Long.MAX_VALUE;
  private final Set<Long> refused = new TreeSet<>();

  /** Returns a duty for windows of a length. */
  public UsageDuty(Duration window, ControlStore store, RouterRegistry routers, Fleet fleet) {
    this.windowMillis = window.toMillis();
    this.store = store;
    this.routers = routers;
    this.fleet = fleet;
  }

  /**
   * Reports the windows that are complete and not reported yet.
   *
   * @param fence the right to act
   * @param wallMillis the time of day, ms since the epoch
   */
  public void run(Fence fence, long wallMillis) {
    long complete = Math.floorDiv(wallMillis - SETTLE_MILLIS, windowMillis) - 1;
    if (fence.number() != reportedTerm) {
      reportedTerm = fence.number();
      reportedThrough = complete - REPEATED_WINDOWS;
      refused.clear();
    }
    while (reportedThrough < complete && fence.holds().getAsBoolean()) {
      long window = reportedThrough + 1;
      if (isAwaited(window, wallMillis)) {
        return;
      }
      Answer answer = report(fence, window);
      if (answer == Answer.NONE) {
        return;
      }
      repeatRefused(fence, window - REPEATED_WINDOWS);
      if (answer == Answer.REFUSED) {
        refused.add(window);
      }
      reportedThrough++;
    }
  }

  /** A window that is refused is sent once more beside each later one, until it is too old. */
  private void repeatRefused(Fence fence, long oldest) {
    for (long window : List.copyOf(refused)) {
      if (window < oldest) {
        log.warn("usage of window {} is given up: it was always refused", window);
        refused.remove(window);
      } else if (report(fence, window) == Answer.TAKEN) {
        refused.remove(window);
      }
    }
  }

  /** What is sealed stays, so that a router that is cut off for a moment is waited for. */
  private boolean isAwaited(long window, long wallMillis) {
    long sinceEnd = wallMillis - (window + 1) * windowMillis;
    return sinceEnd < PATIENCE_MILLIS
        && !store.tables().sealed().containsKey(window)
        && !routers.allHeardWithin(sinceEnd - TOLD_MILLIS);
  }

  private Answer report(Fence fence, long window) {
    ControlTables tables = store.tables();
    if (!tables.sealed().containsKey(window)) {
      Map<String, Long> counts = routers.counts(window);
      if (counts.isEmpty()) {
        return Answer.TAKEN;
      }
      if (!seal(window, counts)) {
        return Answer.NONE;
      }
      tables = store.tables();
    }
    if (!tables.sealed().containsKey(window)) {
      return Answer.TAKEN;
    }
    Map<CustomerId, Long> counts = new HashMap<>();
    tables.sealed().get(window).get().forEach((name, n) -> counts.put(new CustomerId(name), n));
    Either<Failure, Void> sent = fleet.report(fence, window, counts);
    log.info("usage of window {} fence={} counts={} sent={}", window, fence.number(), counts, sent);
    return sent.fold(
        failure -> failure.code() == ResultCode.UPSTREAM_REFUSED ? Answer.REFUSED : Answer.NONE,
        taken -> Answer.TAKEN);
  }

  private boolean seal(long window, Map<String, Long> counts) {
    try {
      Either<Failure, Void> sealed =
          store
              .propose(ControlState.seal(window, counts))
              .toCompletableFuture()
              .get(SEAL_SECONDS, TimeUnit.SECONDS);
      if (sealed.isLeft()) {
        log.warn("usage of window {} is not sealed: {}", window, sealed.getLeft().detail());
      }
      return sealed.isRight();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } catch (ExecutionException | TimeoutException e) {
      log.warn("usage of window {} is not sealed: {}", window, String.valueOf(e));
      return false;
    }
  }
}
