package io.jacinthquay.consensus;

import io.jacinthquay.consensus.storage.FileLogStorage;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Replicated logs on real files and threads, joined by a {@link LocalNetwork}. */
final class LogCluster implements AutoCloseable {
  private static final long LIMIT_SECONDS = 30;
  private static final LogOptions FAST =
      LogOptions.DEFAULT
          .withSnapshots(1_000_000, 0)
          .withTimeouts(Duration.ofMillis(20), Duration.ofMillis(150), Duration.ofSeconds(5));

  private final Path root;
  private final Set<MemberId> seeds = new TreeSet<>();
  private final Map<MemberId, ReplicatedLog> logs = new TreeMap<>();
  private final Map<MemberId, JournalMachine> machines = new TreeMap<>();
  private final LocalNetwork network = new LocalNetwork();
  private final Object changed = new Object();
  private LogOptions options = FAST;

  LogCluster(Path root, int members) {
    this.root = root;
    for (int i = 1; i <= members; i++) {
      seeds.add(new MemberId("k" + i));
    }
  }

  LogCluster withSnapshots(int every, int retained) {
    options = options.withSnapshots(every, retained);
    return this;
  }

  LogCluster withTimeouts(LogOptions source) {
    options =
        options.withTimeouts(
            source.heartbeatInterval(), source.electionTimeout(), source.proposalTimeout());
    return this;
  }

  boolean hasOtherLeader(MemberId old) {
    return logs.entrySet().stream()
        .anyMatch(log -> !log.getKey().equals(old) && log.getValue().status().isLeader());
  }

  LogCluster startAll() {
    seeds.forEach(this::start);
    return this;
  }

  void start(MemberId member) {
    start(member, FileLogStorage::open);
  }

  void start(MemberId member, StorageOpener storage) {
    JournalMachine machine = new JournalMachine();
    ReplicatedLog log =
        ReplicatedLog.builder()
            .member(member)
            .seeds(seeds)
            .folder(folder(member))
            .transport(network.transport(member))
            .stateMachine(machine)
            .listener(status -> wake())
            .options(options)
            .storage(storage)
            .build();
    log.start();
    logs.put(member, log);
    machines.put(member, machine);
  }

  void stop(MemberId member) {
    logs.remove(member).stop();
  }

  void wipe(MemberId member) throws IOException {
    try (Stream<Path> files = Files.walk(folder(member))) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  Path folder(MemberId member) {
    return root.resolve(member.value());
  }

  LocalNetwork network() {
    return network;
  }

  ReplicatedLog log(MemberId member) {
    return logs.get(member);
  }

  JournalMachine machine(MemberId member) {
    return machines.get(member);
  }

  MemberId leader() throws InterruptedException {
    Supplier<Stream<MemberId>> leaders =
        () -> logs.keySet().stream().filter(member -> logs.get(member).status().isLeader());
    await("a leader", () -> leaders.get().findAny().isPresent());
    return leaders.get().max(Comparator.comparingLong(m -> logs.get(m).status().term())).get();
  }

  MemberId follower() throws InterruptedException {
    MemberId leader = leader();
    return logs.keySet().stream().filter(member -> !member.equals(leader)).findFirst().get();
  }

  /** Proposes to whoever leads until the command is certainly applied once. */
  Applied propose(String command) throws Exception {
    byte[] bytes = command.getBytes(StandardCharsets.UTF_8);
    while (true) {
      Either<LogFailure, Applied> answer = get(logs.get(leader()).propose(bytes));
      if (answer.isRight()) {
        return answer.get();
      }
      if (!answer.getLeft().error().notRun()) {
        throw new AssertionError(answer.getLeft());
      }
    }
  }

  /** Waits until a replica has applied whatever was acknowledged before. */
  List<String> read(MemberId member) throws Exception {
    while (get(logs.get(member).readIndex()).isLeft()) {
      leader();
    }
    return machines.get(member).commands();
  }

  static <T> T get(CompletionStage<T> stage) throws Exception {
    return stage.toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  private void wake() {
    synchronized (changed) {
      changed.notifyAll();
    }
  }

  /** Waits for a condition, which is tested at every status change and now and then. */
  void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
    synchronized (changed) {
      while (!condition.getAsBoolean()) {
        if (System.nanoTime() > end) {
          throw new AssertionError("no " + what + " within " + LIMIT_SECONDS + " s");
        }
        changed.wait(10);
      }
    }
  }

  @Override
  public void close() {
    logs.values().forEach(ReplicatedLog::stop);
  }
}
