package io.jacinthquay.soak;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Records when the soak process itself was paused or delayed, so that its observations are late.
 */
final class StallDetector implements Runnable {
  private static final long POLL_MILLIS = 10;

  /** Delay that counts as a stall; a fifth of the shortest bound that a check judges. */
  private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final History history;
  private final BooleanSupplier keepRunning;

  StallDetector(History history, BooleanSupplier keepRunning) {
    this.history = history;
    this.keepRunning = keepRunning;
  }

  @Override
  public void run() {
    long previous = System.nanoTime();
    while (keepRunning.getAsBoolean()) {
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      long now = System.nanoTime();
      if (now - previous > STALL_NANOS) {
        history.add(new FaultPeriod(FaultKind.OBSERVER_STALLED, -1, previous, now));
      }
      previous = now;
    }
  }
}
