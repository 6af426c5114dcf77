package io.jacinthquay.soak;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Records which part of the shared extra retries a router uses, as its metrics tell it. */
final class RetryShareSampler implements Runnable {
  private static final long INTERVAL_MILLIS = 200;

  private final SoakSystem system;
  private final int router;
  private final History history;
  private final BooleanSupplier keepRunning;

  RetryShareSampler(SoakSystem system, int router, History history, BooleanSupplier keepRunning) {
    this.system = system;
    this.router = router;
    this.history = history;
    this.keepRunning = keepRunning;
  }

  @Override
  public void run() {
    try {
      while (keepRunning.getAsBoolean()) {
        system
            .retryExtraPercent(router)
            .ifPresent(
                percent -> history.add(new History.RetryShare(router, percent, System.nanoTime())));
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
