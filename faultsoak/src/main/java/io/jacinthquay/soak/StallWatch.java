package io.jacinthquay.soak;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Notes when the observing process itself stood still or was slow to run. */
final class StallWatch implements Runnable {
  private static final long LOOK_MILLIS = 10;

  /** A fifth of the shortest bound that is judged. */
  private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final History history;
  private final BooleanSupplier goesOn;

  StallWatch(History history, BooleanSupplier goesOn) {
    this.history = history;
    this.goesOn = goesOn;
  }

  @Override
  public void run() {
    long before = System.nanoTime();
    while (goesOn.getAsBoolean()) {
      try {
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      long now = System.nanoTime();
      if (now - before > STALL_NANOS) {
        history.add(new Span(FaultKind.OBSERVER_STALLED, -1, before, now));
      }
      before = now;
    }
  }
}
