package io.jacinthquay.keeper.service;

import io.jacinthquay.runtime.Service;
import io.jacinthquay.wire.gen.ReaderReport;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Periodically sends the other keepers the versions in force at the readers of this keeper. */
public final class ReaderExchange implements Service {
  private static final long INTERVAL_MILLIS = 200;

  private final ReaderTable readers;
  private final Consumer<List<ReaderReport>> sender;
  private ScheduledExecutorService scheduler;

  /**
   * Creates an exchange that is not yet started.
   *
   * @param readers the versions in force at readers
   * @param sender sends reports to the other keepers without blocking
   */
  public ReaderExchange(ReaderTable readers, Consumer<List<ReaderReport>> sender) {
    this.readers = readers;
    this.sender = sender;
  }

  @Override
  public void start() {
    scheduler = Executors.newSingleThreadScheduledExecutor(ReaderExchange::newThread);
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::exchange, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "reader-exchange");
    thread.setDaemon(true);
    return thread;
  }

  private void exchange() {
    List<ReaderReport> reports = readers.reports();
    if (!reports.isEmpty()) {
      sender.accept(reports);
    }
  }

  @Override
  public void stop() {
    if (scheduler != null) {
      scheduler.shutdownNow();
    }
  }
}
