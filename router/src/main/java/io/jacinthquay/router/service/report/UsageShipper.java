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

/** Delivers usage counters each second, and once more when it stops. */
public final class UsageShipper implements Service {
  private static final Logger log = LogManager.getLogger();
  private static final long INTERVAL_MILLIS = 1_000;
  private static final int MAX_COUNTS = 5_000;
  private static final int FINAL_ATTEMPTS = 5;

  private final UsageCounters counters;
  private final UsageSink sink;
  private ScheduledExecutorService executor;
  private ScheduledFuture<?> task;

  /** Returns a shipper. */
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
            this::shipQuietly, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void shipQuietly() {
    try {
      boolean unused = ship();
    } catch (RuntimeException e) {
      log.error("shipping usage failed", e);
    }
  }

  /** Returns whether every counter is safe now. */
  private boolean ship() {
    List<UsageCount> changed = counters.changed();
    for (int from = 0; from < changed.size(); from += MAX_COUNTS) {
      List<UsageCount> page = changed.subList(from, Math.min(changed.size(), from + MAX_COUNTS));
      Either<Failure, Void> shipped = sink.ship(page);
      if (shipped.isLeft()) {
        log.warn("usage counters were not delivered: {}", shipped.getLeft().detail());
        return false;
      }
      counters.delivered(page);
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
      boolean safe = false;
      for (int attempt = 0; attempt < FINAL_ATTEMPTS && !safe; attempt++) {
        safe = ship();
      }
      if (!safe || !ended) {
        log.error("usage counters may not be safe at the end of this process");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
