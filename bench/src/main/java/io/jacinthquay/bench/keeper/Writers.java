package io.jacinthquay.bench.keeper;

import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.wire.client.KeeperClient;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Commits changes from several threads, each over its own connection. */
final class Writers {
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Bytes of each write in the sync loop. */
  private static final int SYNC_BYTES = 256;

  private Writers() {}

  /** The changes committed in one run and their latencies in nanoseconds. */
  record Result(long changes, Duration time, Histogram latency) {
    double perSecond() {
      return changes / (time.toNanos() / 1e9);
    }

    double millisAt(double percentile) {
      return latency.getValueAtPercentile(percentile) / 1e6;
    }
  }

  /** Decides whether a writer continues, by its changes and nanoseconds since its start. */
  @FunctionalInterface
  private interface WriteLimit {
    boolean permits(long done, long nanos);
  }

  /** Runs writers for a time. */
  static Result runFor(KeeperCluster cluster, int writers, String label, Duration time)
      throws IOException, InterruptedException {
    return run(cluster, writers, label, (done, nanos) -> nanos < time.toNanos());
  }

  /** Runs writers until they have committed a number of changes, shared equally. */
  static Result runUntil(KeeperCluster cluster, int writers, String label, long changes)
      throws IOException, InterruptedException {
    return run(cluster, writers, label, (done, nanos) -> done < changes / writers);
  }

  private static Result run(KeeperCluster cluster, int writers, String label, WriteLimit limit)
      throws IOException, InterruptedException {
    Histogram latency = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    List<Thread> threads = new ArrayList<>();
    ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
    AtomicBoolean failed = new AtomicBoolean();
    for (int i = 0; i < writers; i++) {
      String name = label + "-" + i;
      KeeperClient client = cluster.client(name, PeerRole.OPERATOR);
      KeeperCluster.commit(client, name + "-first");
      Thread thread = new Thread(() -> write(client, name, failed::get, limit, latency));
      thread.setUncaughtExceptionHandler(
          (t, e) -> {
            failures.add(e);
            failed.set(true);
          });
      threads.add(thread);
    }
    long start = System.nanoTime();
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    if (!failures.isEmpty()) {
      throw new IllegalStateException("a writer thread failed", failures.peek());
    }
    Duration time = Duration.ofNanos(System.nanoTime() - start);
    return new Result(latency.getTotalCount(), time, latency);
  }

  private static void write(
      KeeperClient client,
      String name,
      BooleanSupplier failed,
      WriteLimit limit,
      Histogram latency) {
    long writerStart = System.nanoTime();
    try (client) {
      for (long done = 0; !failed.getAsBoolean(); done++) {
        long start = System.nanoTime();
        if (!limit.permits(done, start - writerStart)) {
          break;
        }
        KeeperCluster.commit(client, name + "-" + done);
        latency.recordValue(Math.max(1, System.nanoTime() - start));
      }
    }
  }

  /** Measures appending to a file and syncing it in a loop on one thread, without a keeper. */
  static Result runSyncLoop(Path folder, Duration time) throws IOException {
    Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
    Path file = folder.resolve("sync");
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      long start = System.nanoTime();
      while (System.nanoTime() - start < time.toNanos()) {
        long before = System.nanoTime();
        channel.write(ByteBuffer.allocate(SYNC_BYTES));
        channel.force(false);
        latency.recordValue(System.nanoTime() - before);
      }
      Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
      return new Result(latency.getTotalCount(), elapsed, latency);
    }
  }

  static String describe(String label, Result result) {
    return String.format(
        "%-24s %8.0f/s  p50 %7.2f ms  p99 %7.2f ms  (%d in %d ms)",
        label,
        result.perSecond(),
        result.millisAt(50),
        result.millisAt(99),
        result.changes(),
        TimeUnit.NANOSECONDS.toMillis(result.time().toNanos()));
  }
}
