package io.jacinthquay.consensus;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class WorkerTest {
  private static final long IDLE_NANOS = 1_000_000;

  private static void run(List<Runnable> batch) {
    batch.forEach(Runnable::run);
  }

  @Test
  void threadGoesOnAndReportsAfterAnError() throws InterruptedException {
    CountDownLatch reported = new CountDownLatch(1);
    CountDownLatch handled = new CountDownLatch(1);
    Worker<Runnable> worker =
        new Worker<>("test", IDLE_NANOS, WorkerTest::run, error -> reported.countDown());
    worker.start();
    worker.add(
        () -> {
          throw new StackOverflowError("thrown by the test");
        });
    assertTrue(reported.await(10, TimeUnit.SECONDS));
    worker.add(handled::countDown);
    assertTrue(handled.await(10, TimeUnit.SECONDS));
    assertTrue(worker.stop());
  }

  @Test
  void rejectsTasksAfterItsEnd() {
    Worker<Runnable> worker = new Worker<>("test", IDLE_NANOS, WorkerTest::run, error -> {});
    worker.start();
    assertTrue(worker.stop());
    assertFalse(worker.offer(() -> {}, 10));
  }
}
