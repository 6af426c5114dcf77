package io.jacinthquay.keeper.service;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/** Lets threads wait for a condition that other threads make true. */
public final class Signal {
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();

  /** Wakes all waiting threads, which check their conditions again. */
  public void raise() {
    lock.lock();
    try {
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until a condition holds or the timeout expires.
   *
   * @param condition checked at once and after each {@link #raise()}, under a lock; must be quick
   * @param millis maximum wait in milliseconds
   * @return whether the condition holds
   */
  public boolean await(BooleanSupplier condition, long millis) {
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    lock.lock();
    try {
      while (!condition.getAsBoolean()) {
        if (remainingNanos <= 0) {
          return false;
        }
        remainingNanos = changed.awaitNanos(remainingNanos);
      }
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return condition.getAsBoolean();
    } finally {
      lock.unlock();
    }
  }
}
