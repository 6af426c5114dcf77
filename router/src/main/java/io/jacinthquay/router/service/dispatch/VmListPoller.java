package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.VmDirectory;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.runtime.Service;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Polls the platform's VM list and passes it to a listener. */
public final class VmListPoller implements Service {
  private static final Logger log = LogManager.getLogger();

  private final VmDirectory directory;
  private final Consumer<List<VmEntry>> listener;
  private final long intervalMillis;
  private volatile long lastListNanos = System.nanoTime();
  private ScheduledExecutorService executor;

  /**
   * Creates a poller of the VM list.
   *
   * @param directory returns the VM list of the platform
   * @param listener receives each VM list
   * @param intervalMillis time between polls, in milliseconds
   */
  public VmListPoller(
      VmDirectory directory, Consumer<List<VmEntry>> listener, long intervalMillis) {
    this.directory = directory;
    this.listener = listener;
    this.intervalMillis = intervalMillis;
  }

  @Override
  public void start() {
    executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "vm-list");
              thread.setDaemon(true);
              return thread;
            });
    executor.execute(this::refresh);
    var unused =
        executor.scheduleWithFixedDelay(
            this::refresh, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void refresh() {
    try {
      Either<Failure, List<VmEntry>> list = directory.list();
      if (list.isRight()) {
        lastListNanos = System.nanoTime();
        listener.accept(list.get());
      } else {
        log.debug("the platform did not return the VM list: {}", list.getLeft().detail());
      }
    } catch (RuntimeException e) {
      log.error("updating the VM list failed", e);
    }
  }

  /** Returns the time since the platform last returned the VM list, in nanoseconds. */
  public long listAgeNanos(long nowNanos) {
    return nowNanos - lastListNanos;
  }

  @Override
  public void stop() {
    if (executor != null) {
      List<Runnable> unused = executor.shutdownNow();
    }
  }
}
