package io.jacinthquay.bench.keeper;

import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.Keeper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Runs {@code jq-bench keeper}: measures three keepers on one machine. */
public final class KeeperCommand implements BenchCommand {
  private static final String FOLDER = "folder";
  private static final String PART = "part";
  private static final String SECONDS = "seconds";
  private static final int DEFAULT_SECONDS = 10;
  private static final int WRITER_COUNT = 64;

  /** Times that the leader is killed. */
  private static final int FAILOVERS = 5;

  /** Changes in the log when a follower is restarted. */
  private static final int[] LOG_LENGTHS = {1_000, 5_000, 20_000, 80_000};

  /** Numbers of concurrent readers. */
  private static final int[] READER_COUNTS = {1, 2, 4, 8, 16, 64};

  private static final long CHANGE_INTERVAL_MILLIS = 200;

  @Override
  public String name() {
    return "keeper";
  }

  @Override
  public String summary() {
    return "measure commits, failover, restart and readers of three keepers";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("--folder")
        .dest(FOLDER)
        .setDefault("target/bench-keeper")
        .help("receives a new folder with the data of the keepers");
    parser
        .addArgument("--part")
        .dest(PART)
        .choices("commits", "failover", "restart", "readers")
        .required(true)
        .help("what to measure");
    parser
        .addArgument("--seconds")
        .dest(SECONDS)
        .type(Integer.class)
        .setDefault(DEFAULT_SECONDS)
        .help("length of one measurement [default: 10]");
  }

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    try {
      Path parent = Files.createDirectories(Path.of(arguments.getString(FOLDER)));
      Path folder = Files.createTempDirectory(parent, "run");
      Duration time = Duration.ofSeconds(arguments.getInt(SECONDS));
      try (KeeperCluster cluster = KeeperCluster.start(folder)) {
        measure(arguments.getString(PART), cluster, folder, time, out);
      }
      return ExitCode.OK;
    } catch (IOException e) {
      out.println(e.getMessage());
      return ExitCode.FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILURE;
    }
  }

  private static void measure(
      String part, KeeperCluster cluster, Path folder, Duration time, PrintStream out)
      throws IOException, InterruptedException {
    switch (part) {
      case "commits" -> commits(cluster, folder, time, out);
      case "failover" -> failover(cluster, out);
      case "restart" -> restart(cluster, out);
      default -> readers(cluster, time, out);
    }
  }

  private static void commits(KeeperCluster cluster, Path folder, Duration time, PrintStream out)
      throws IOException, InterruptedException {
    Writers.runFor(cluster, 1, "warm-up", time);
    Writers.Result syncLoop = Writers.runSyncLoop(folder, time);
    Writers.Result singleWriter = Writers.runFor(cluster, 1, "one", time);
    Writers.Result manyWriters = Writers.runFor(cluster, WRITER_COUNT, "many", time);
    out.println(Writers.describe("bare sync loop", syncLoop));
    out.println(Writers.describe("1 writer", singleWriter));
    out.println(Writers.describe(WRITER_COUNT + " writers", manyWriters));
    out.printf(
        "1 writer / bare loop       %.2f%n", singleWriter.perSecond() / syncLoop.perSecond());
    out.printf(
        "64 writers / 1 writer      %.1f%n", manyWriters.perSecond() / singleWriter.perSecond());
  }

  private static void failover(KeeperCluster cluster, PrintStream out)
      throws IOException, InterruptedException {
    try (KeeperClient client = cluster.client("failover", PeerRole.OPERATOR)) {
      for (int i = 0; i < FAILOVERS; i++) {
        int leader = cluster.leader(client);
        KeeperCluster.commit(client, "before-" + i);
        cluster.keeper(leader).kill();
        long start = System.nanoTime();
        KeeperCluster.commit(client, "after-" + i);
        out.printf("leader killed, next commit after %d ms%n", millisSince(start));
        cluster.start(leader);
        awaitCaughtUp(cluster, leader);
      }
    }
  }

  private static void restart(KeeperCluster cluster, PrintStream out)
      throws IOException, InterruptedException {
    long length = 0;
    try (KeeperClient client = cluster.client("restart", PeerRole.OPERATOR)) {
      for (int logLength : LOG_LENGTHS) {
        Writers.runUntil(cluster, WRITER_COUNT, "to-" + logLength, logLength - length);
        length = logLength;
        int follower = (cluster.leader(client) + 1) % KeeperCluster.KEEPER_COUNT;
        awaitCaughtUp(cluster, follower);
        cluster.keeper(follower).kill();
        long start = System.nanoTime();
        cluster.start(follower);
        awaitCaughtUp(cluster, follower);
        out.printf("%6d changes: follower caught up after %d ms%n", logLength, millisSince(start));
      }
    }
  }

  /** Waits for a quorum read on a keeper, which completes once it has applied all commits. */
  private static void awaitCaughtUp(KeeperCluster cluster, int index) throws IOException {
    try (KeeperClient client = cluster.client(index)) {
      client.call(keeper -> keeper.history(1)).get();
    }
  }

  private static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private static void readers(KeeperCluster cluster, Duration time, PrintStream out)
      throws IOException, InterruptedException {
    try (KeeperClient client = cluster.client("readers", PeerRole.OPERATOR)) {
      Writers.runFor(cluster, 1, "warm-up", time);
      int leader = cluster.leader(client);
      for (int count : READER_COUNTS) {
        long version = client.call(Keeper.Iface::status).get().getConfigVersion();
        try (Readers readers = Readers.start(cluster, count, version)) {
          ProcessUsage leaderUsage = new ProcessUsage(cluster.keeper(leader));
          ProcessUsage followerUsage =
              new ProcessUsage(cluster.keeper((leader + 1) % KeeperCluster.KEEPER_COUNT));
          commitAtRate(client, readers, version, time);
          out.printf(
              "%3d readers: delay p50 %.1f ms p99 %.1f ms, leader %s, follower %s%n",
              count,
              readers.delay().getValueAtPercentile(50) / 1e6,
              readers.delay().getValueAtPercentile(99) / 1e6,
              leaderUsage.describe(),
              followerUsage.describe());
        }
      }
    }
  }

  private static void commitAtRate(
      KeeperClient client, Readers readers, long version, Duration time)
      throws InterruptedException {
    long changes = time.toMillis() / CHANGE_INTERVAL_MILLIS;
    for (long i = 1; i <= changes; i++) {
      readers.commit(client, "r" + version + "-" + i, version + i);
      TimeUnit.MILLISECONDS.sleep(CHANGE_INTERVAL_MILLIS);
    }
  }
}
