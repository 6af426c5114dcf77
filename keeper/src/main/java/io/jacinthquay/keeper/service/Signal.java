package io.jacinthquay.keeper.service;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/** Lets threads wait until something that others change is so. */
public final class Signal {
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();

  /** Wakes all waiting threads, which look again. */
  public void raise() {
    lock.lock();
    try {
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until a condition holds or the time is over.
   *
   * @param condition looked at after each {@link #raise()}; must be quick
   * @param millis longest wait in milliseconds
   * @return whether the condition holds
   */
  public boolean await(BooleanSupplier condition, long millis) {
    long left = TimeUnit.MILLISECONDS.toNanos(millis);
    lock.lock();
    try {
      while (!condition.getAsBoolean()) {
        if (left <= 0) {
          return false;
        }
        left = changed.awaitNanos(left);
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
