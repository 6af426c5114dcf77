package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.UpstreamDirectory;
import io.jacinthquay.runtime.RepeatingTask;
import io.jacinthquay.runtime.Service;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Polls the platform's list of upstreams, in a thread of its own, while no control VM has a recent
 * one for this router.
 *
 * <p>Handles the loss of all control VMs: upstreams that leave must get no request 3 s after the
 * list shows it. All routers begin at about the same time, so each waits for a random part of the
 * interval before its first poll, and the interval grows with the number of routers.
 */
final class ListPoller implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Time in milliseconds without a view of the leader or a relay before the platform is polled. */
  private static final long SILENCE_MILLIS = 1_000;

  /**
   * Age in milliseconds from which the list of a control VM that doesn't lead is not recent enough;
   * a router that searches gets one each 800 ms, which is 400 ms old at most, if one VM answers.
   */
  private static final long STALE_LIST_MILLIS = 1_300;

  /**
   * Delay between two checks whether polls are needed, in milliseconds; each one wakes a thread of
   * every router, on all days.
   */
  private static final long CHECK_MILLIS = 250;

  /** Least time between two polls, in milliseconds; the leader polls as often. */
  private static final long MIN_INTERVAL_MILLIS = 400;

  /** Longest time between two polls after failures, in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 6_000;

  /** Failures after which the interval doesn't grow further. */
  private static final int MAX_DOUBLINGS = 4;

  /** Largest random part that is added to an interval, so that routers don't poll in step. */
  private static final double JITTER = 0.1;

  private final UpstreamDirectory directory;
  private final ListInForce list;
  private final ControlLinkMonitor monitor;
  private final IntSupplier routers;
  private final RandomGenerator random;
  private final RepeatingTask task = new RepeatingTask("list-poller", this::tryStep);
  private boolean polling;
  private int failures;

  /**
   * Returns a poller.
   *
   * @param list receives the platform's lists
   * @param monitor tells the time since the last view
   * @param routers returns the last known number of routers, 1 or more
   */
  ListPoller(
      UpstreamDirectory directory,
      ListInForce list,
      ControlLinkMonitor monitor,
      IntSupplier routers,
      RandomGenerator random) {
    this.directory = directory;
    this.list = list;
    this.monitor = monitor;
    this.routers = routers;
    this.random = random;
  }

  @Override
  public void start() {
    task.start();
  }

  @Override
  public void stop() {
    task.stop();
  }

  private void tryStep() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(nextDelayMillis());
  }

  /** Runs one step; nothing that is thrown may end the thread, which nothing would replace. */
  private long nextDelayMillis() {
    try {
      return step();
    } catch (RuntimeException | Error e) {
      log.error("the poll of the platform's list of upstreams failed", e);
      return MAX_BACKOFF_MILLIS;
    }
  }

  /** Polls if that is due; returns the time until the next step, in milliseconds. */
  long step() {
    if (!isNeeded()) {
      polling = false;
      failures = 0;
      return CHECK_MILLIS;
    }
    if (!polling) {
      polling = true;
      return (long) (random.nextDouble() * intervalMillis());
    }
    poll();
    double jitter = 1 + JITTER * random.nextDouble();
    long millis = (long) (jitter * intervalMillis());
    long backoff = millis << Math.min(failures, MAX_DOUBLINGS);
    return failures == 0 ? millis : Math.max(millis, Math.min(backoff, MAX_BACKOFF_MILLIS));
  }

  private boolean isNeeded() {
    boolean fromControl = list.source() != ListInForce.Source.PLATFORM;
    return monitor.isSilentFor(SILENCE_MILLIS)
        && !(fromControl && list.age(System.nanoTime()).toMillis() < STALE_LIST_MILLIS);
  }

  private long intervalMillis() {
    long least = directory.leastListInterval(routers.getAsInt(), list.size()).toMillis();
    return Math.max(MIN_INTERVAL_MILLIS, least);
  }

  private void poll() {
    long requestNanos = System.nanoTime();
    Either<Failure, List<UpstreamListing>> listings = directory.listUpstreams();
    if (listings.isLeft()) {
      failures++;
      log.warn(
          "no control VM has a recent list of upstreams, and the platform's could not be read"
              + " ({} failures): {}",
          failures,
          listings.getLeft().detail());
      return;
    }
    failures = 0;
    list.recordPlatform(listings.get(), requestNanos, System.nanoTime());
    monitor.recordList();
  }
}
