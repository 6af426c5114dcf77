package io.jacinthquay.consensus;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Measures the throughput of the log compared with a loop of writes and syncs, the restart time and
 * the failover time. Not a test: its name keeps it out of test runs, so it is run by name.
 */
class SpeedRun {
  private static final int ROUNDS = 5;
  private static final long ROUND_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final byte[] COMMAND = new byte[256];
  private static final MemberId K1 = new MemberId("k1");

  private final Path root = Path.of("target", "speed-" + System.nanoTime());

  @Test
  void commitsPerSecond() throws Exception {
    Files.createDirectories(root);
    for (int members : new int[] {1, 3}) {
      try (LogCluster cluster = new LogCluster(root.resolve("m" + members), members)) {
        cluster.withTimeouts(LogOptions.DEFAULT).withSnapshots(50_000, 10_000).startAll();
        ReplicatedLog leader = cluster.log(cluster.leader());
        measureWrites(leader, 64);
        for (int round = 0; round < ROUNDS; round++) {
          report("bare sync loop", measureSyncs(root.resolve("bare")));
          report(members + " members, 1 writer", measureWrites(leader, 1));
          report(members + " members, 64 writers", measureWrites(leader, 64));
        }
      }
    }
  }

  private static void report(String label, long[] nanos) {
    Arrays.sort(nanos);
    System.out.printf(
        "%-24s %8.0f /s  p50 %6d us  p99 %6d us%n",
        label,
        nanos.length / (ROUND_NANOS / 1e9),
        nanos[nanos.length / 2] / 1000,
        nanos[nanos.length * 99 / 100] / 1000);
  }

  private static long[] measureSyncs(Path file) throws IOException {
    List<Long> nanos = new ArrayList<>();
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      long end = System.nanoTime() + ROUND_NANOS;
      for (long begin = System.nanoTime(); begin < end; begin = System.nanoTime()) {
        channel.write(ByteBuffer.wrap(COMMAND));
        channel.force(false);
        nanos.add(System.nanoTime() - begin);
      }
    }
    Files.delete(file);
    return nanos.stream().mapToLong(Long::longValue).toArray();
  }

  private static long[] measureWrites(ReplicatedLog log, int writers) throws InterruptedException {
    ConcurrentLinkedQueue<Long> nanos = new ConcurrentLinkedQueue<>();
    long end = System.nanoTime() + ROUND_NANOS;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < writers; i++) {
      Thread thread = new Thread(() -> write(log, end, nanos), "writer-" + i);
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return nanos.stream().mapToLong(Long::longValue).toArray();
  }

  private static void write(ReplicatedLog log, long end, ConcurrentLinkedQueue<Long> nanos) {
    try {
      for (long begin = System.nanoTime(); begin < end; begin = System.nanoTime()) {
        LogCluster.get(log.propose(COMMAND)).getOrElseThrow(f -> new AssertionError(f));
        nanos.add(System.nanoTime() - begin);
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void restartTime() throws Exception {
    for (int entries : new int[] {1_000, 10_000, 50_000, 100_000}) {
      Path folder = root.resolve("restart-" + entries);
      try (LogCluster cluster = new LogCluster(folder, 1).startAll()) {
        fill(cluster.log(cluster.leader()), entries);
      }
      long begin = System.nanoTime();
      try (LogCluster cluster = new LogCluster(folder, 1).startAll()) {
        long opened = System.nanoTime() - begin;
        cluster.read(K1);
        long readable = System.nanoTime() - begin;
        System.out.printf(
            "restart with %6d entries: open %4d ms, readable %4d ms%n",
            entries, opened / 1_000_000, readable / 1_000_000);
      }
    }
  }

  private static void fill(ReplicatedLog log, int entries) throws Exception {
    int batch = 500;
    for (int done = 0; done < entries; done += batch) {
      List<CompletionStage<Either<LogFailure, AppliedCommand>>> answers = new ArrayList<>();
      for (int i = 0; i < batch; i++) {
        answers.add(log.propose(COMMAND));
      }
      for (CompletionStage<Either<LogFailure, AppliedCommand>> answer : answers) {
        LogCluster.get(answer).getOrElseThrow(f -> new AssertionError(f));
      }
    }
  }

  @Test
  void failoverTime() throws Exception {
    try (LogCluster cluster = new LogCluster(root.resolve("failover"), 3)) {
      cluster.withTimeouts(LogOptions.DEFAULT).startAll();
      long[] nanos = new long[10];
      for (int i = 0; i < nanos.length; i++) {
        cluster.propose("before " + i);
        cluster.network().heal();
        MemberId oldLeader = cluster.leader();
        long begin = System.nanoTime();
        cluster.network().isolate(oldLeader);
        cluster.await("another leader", () -> cluster.hasOtherLeader(oldLeader));
        cluster.propose("after " + i);
        nanos[i] = System.nanoTime() - begin;
      }
      Arrays.sort(nanos);
      System.out.printf(
          "failover to the next commit: min %d ms, median %d ms, max %d ms of %d%n",
          nanos[0] / 1_000_000,
          nanos[nanos.length / 2] / 1_000_000,
          nanos[nanos.length - 1] / 1_000_000,
          nanos.length);
    }
  }
}
