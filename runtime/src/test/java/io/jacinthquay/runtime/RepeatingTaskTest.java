package io.jacinthquay.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class RepeatingTaskTest {
  /** Timeout that only ends a test that hangs; nothing is measured against it. */
  private static final long HANG_TIMEOUT_SECONDS = 60;

  /** A step that waits must not hold up the end, which answers what is left. */
  @Test
  void stopInterruptsAStepAndRunsTheEndOnce() throws InterruptedException {
    CountDownLatch waiting = new CountDownLatch(1);
    CountDownLatch ended = new CountDownLatch(1);
    AtomicInteger steps = new AtomicInteger();
    AtomicInteger ends = new AtomicInteger();
    RepeatingTask task =
        new RepeatingTask(
            "test",
            () -> {
              if (steps.incrementAndGet() == 3) {
                waiting.countDown();
                TimeUnit.SECONDS.sleep(HANG_TIMEOUT_SECONDS);
              }
            },
            () -> {
              ends.incrementAndGet();
              ended.countDown();
            });
    assertFalse(task.isRunning());
    task.start();
    assertTrue(waiting.await(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertTrue(task.isRunning());
    task.stop();
    assertFalse(task.isRunning());
    assertTrue(ended.await(HANG_TIMEOUT_SECONDS / 2, TimeUnit.SECONDS));
    assertEquals(3, steps.get());
    assertEquals(1, ends.get());
  }
}
