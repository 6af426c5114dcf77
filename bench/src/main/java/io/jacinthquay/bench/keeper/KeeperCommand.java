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

/** Measures three keepers on one machine. */
public final class KeeperCommand implements BenchCommand {
  private static final String FOLDER = "folder";
  private static final String PART = "part";
  private static final String SECONDS = "seconds";
  private static final int DEFAULT_SECONDS = 10;
  private static final int MANY_WRITERS = 64;
  private static final int FAILOVERS = 5;
  private static final int[] LOG_LENGTHS = {1_000, 5_000, 20_000, 80_000};
  private static final int[] READERS = {1, 2, 4, 8, 16, 64};
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
      try (Cluster cluster = Cluster.start(folder)) {
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
      String part, Cluster cluster, Path folder, Duration time, PrintStream out)
      throws IOException, InterruptedException {
    switch (part) {
      case "commits" -> commits(cluster, folder, time, out);
      case "failover" -> failover(cluster, out);
      case "restart" -> restart(cluster, out);
      default -> readers(cluster, time, out);
    }
  }

  private static void commits(Cluster cluster, Path folder, Duration time, PrintStream out)
      throws IOException, InterruptedException {
    Writers.runFor(cluster, 1, "warm-up", time);
    Writers.Result bare = Writers.bareSync(folder, time);
    Writers.Result one = Writers.runFor(cluster, 1, "one", time);
    Writers.Result many = Writers.runFor(cluster, MANY_WRITERS, "many", time);
    out.println(Writers.describe("bare sync loop", bare));
    out.println(Writers.describe("1 writer", one));
    out.println(Writers.describe(MANY_WRITERS + " writers", many));
    out.printf("1 writer / bare loop       %.2f%n", one.perSecond() / bare.perSecond());
    out.printf("64 writers / 1 writer      %.1f%n", many.perSecond() / one.perSecond());
  }

  private static void failover(Cluster cluster, PrintStream out)
      throws IOException, InterruptedException {
    try (KeeperClient client = cluster.client("failover", PeerRole.OPERATOR)) {
      for (int i = 0; i < FAILOVERS; i++) {
        int leader = cluster.leader(client);
        Cluster.commit(client, "before-" + i);
        cluster.keeper(leader).kill();
        long start = System.nanoTime();
        Cluster.commit(client, "after-" + i);
        out.printf("leader killed, next commit after %d ms%n", millisSince(start));
        cluster.start(leader);
        awaitCaughtUp(cluster, leader);
      }
    }
  }

  private static void restart(Cluster cluster, PrintStream out)
      throws IOException, InterruptedException {
    long length = 0;
    try (KeeperClient client = cluster.client("restart", PeerRole.OPERATOR)) {
      for (int target : LOG_LENGTHS) {
        Writers.runUntil(cluster, MANY_WRITERS, "to-" + target, target - length);
        length = target;
        int follower = (cluster.leader(client) + 1) % Cluster.SIZE;
        awaitCaughtUp(cluster, follower);
        cluster.keeper(follower).kill();
        long start = System.nanoTime();
        cluster.start(follower);
        awaitCaughtUp(cluster, follower);
        out.printf("%6d changes: follower caught up after %d ms%n", target, millisSince(start));
      }
    }
  }

  /** Waits for a quorum read on a keeper, which holds once it has applied all commits. */
  private static void awaitCaughtUp(Cluster cluster, int index) throws IOException {
    try (KeeperClient one = cluster.client(index)) {
      one.call(keeper -> keeper.history(1)).get();
    }
  }

  private static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private static void readers(Cluster cluster, Duration time, PrintStream out)
      throws IOException, InterruptedException {
    try (KeeperClient client = cluster.client("readers", PeerRole.OPERATOR)) {
      Writers.runFor(cluster, 1, "warm-up", time);
      int leader = cluster.leader(client);
      for (int count : READERS) {
        long version = client.call(Keeper.Iface::status).get().getConfigVersion();
        try (Readers readers = Readers.start(cluster, count, version)) {
          NodeUse leaderUse = new NodeUse(cluster.keeper(leader));
          NodeUse followerUse = new NodeUse(cluster.keeper((leader + 1) % Cluster.SIZE));
          commitAtRate(client, readers, version, time);
          out.printf(
              "%3d readers: delay p50 %.1f ms p99 %.1f ms, leader %s, follower %s%n",
              count,
              readers.delay().getValueAtPercentile(50) / 1e6,
              readers.delay().getValueAtPercentile(99) / 1e6,
              leaderUse.describe(),
              followerUse.describe());
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
