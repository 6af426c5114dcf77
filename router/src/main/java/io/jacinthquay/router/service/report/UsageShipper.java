package io.jacinthquay.router.service.report;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.router.port.UsageSink;
import io.jacinthquay.runtime.Service;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Delivers usage counters every second, and once more on stop. */
public final class UsageShipper implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Delivery interval, and the longest wait for a running delivery on stop, in milliseconds. */
  private static final long INTERVAL_MILLIS = 1_000;

  /** Maximum number of counters in one delivery. */
  private static final int MAX_COUNTS = 5_000;

  /** Maximum number of delivery attempts on stop. */
  private static final int FINAL_ATTEMPTS = 5;

  private final UsageCounters counters;
  private final UsageSink sink;
  private ScheduledExecutorService executor;
  private ScheduledFuture<?> task;

  /** Returns a shipper from the given counters to the sink. */
  public UsageShipper(UsageCounters counters, UsageSink sink) {
    this.counters = counters;
    this.sink = sink;
  }

  @Override
  public void start() {
    executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "usage");
              thread.setDaemon(true);
              return thread;
            });
    task =
        executor.scheduleWithFixedDelay(
            this::shipGuarded, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void shipGuarded() {
    try {
      boolean unused = ship();
    } catch (RuntimeException e) {
      log.error("delivery of usage counters failed", e);
    }
  }

  /** Delivers the changed counters and returns whether all of them were delivered. */
  private boolean ship() {
    List<UsageCount> undelivered = counters.undelivered();
    for (int from = 0; from < undelivered.size(); from += MAX_COUNTS) {
      List<UsageCount> page =
          undelivered.subList(from, Math.min(undelivered.size(), from + MAX_COUNTS));
      Either<Failure, Void> result = sink.deliver(page);
      if (result.isLeft()) {
        log.warn("usage counters were not delivered: {}", result.getLeft().detail());
        return false;
      }
      counters.markDelivered(page);
    }
    return true;
  }

  @Override
  public void stop() {
    if (executor == null) {
      return;
    }
    boolean unused = task.cancel(false);
    executor.shutdown();
    try {
      boolean ended = executor.awaitTermination(INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      boolean delivered = false;
      for (int attempt = 0; attempt < FINAL_ATTEMPTS && !delivered; attempt++) {
        delivered = ship();
      }
      if (!delivered || !ended) {
        log.error("some usage counters may not have been delivered before the process ended");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
