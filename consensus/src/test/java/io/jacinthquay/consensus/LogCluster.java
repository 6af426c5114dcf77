package io.jacinthquay.consensus;

import io.jacinthquay.consensus.storage.FileLogStorage;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * A cluster of replicated logs with real files and threads, connected by a {@link LocalNetwork}.
 */
final class LogCluster implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 30;
  private static final LogOptions FAST_OPTIONS =
      LogOptions.DEFAULT
          .withSnapshots(1_000_000, 0)
          .withTimeouts(Duration.ofMillis(20), Duration.ofMillis(150), Duration.ofSeconds(5));

  private final Path root;
  private final Set<MemberId> seeds = new TreeSet<>();
  private final Map<MemberId, ReplicatedLog> logs = new TreeMap<>();
  private final Map<MemberId, RecordingStateMachine> machines = new TreeMap<>();
  private final LocalNetwork network = new LocalNetwork();
  private final Object statusChanged = new Object();
  private LogOptions options = FAST_OPTIONS;

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

  boolean hasOtherLeader(MemberId previous) {
    return logs.entrySet().stream()
        .anyMatch(log -> !log.getKey().equals(previous) && log.getValue().status().isLeader());
  }

  LogCluster startAll() {
    seeds.forEach(this::start);
    return this;
  }

  void start(MemberId member) {
    start(member, FileLogStorage::open);
  }

  void start(MemberId member, StorageOpener storage) {
    RecordingStateMachine machine = new RecordingStateMachine();
    ReplicatedLog log =
        ReplicatedLog.builder()
            .member(member)
            .seeds(seeds)
            .folder(folder(member))
            .transport(network.transport(member))
            .stateMachine(machine)
            .listener(status -> signalStatusChange())
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

  void deleteFolder(MemberId member) throws IOException {
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

  RecordingStateMachine machine(MemberId member) {
    return machines.get(member);
  }

  MemberId leader() throws InterruptedException {
    AtomicReference<Optional<MemberId>> found = new AtomicReference<>(Optional.empty());
    await(
        "a leader",
        () -> {
          // Looked up once, since a leader may step down between two lookups.
          found.set(newestLeader());
          return found.get().isPresent();
        });
    return found.get().orElseThrow();
  }

  private Optional<MemberId> newestLeader() {
    Map<MemberId, LogStatus> statuses = new HashMap<>();
    logs.forEach((member, log) -> statuses.put(member, log.status()));
    return statuses.keySet().stream()
        .filter(member -> statuses.get(member).isLeader())
        .max(Comparator.comparingLong(member -> statuses.get(member).term()));
  }

  MemberId follower() throws InterruptedException {
    MemberId leader = leader();
    return logs.keySet().stream().filter(member -> !member.equals(leader)).findFirst().get();
  }

  /** Proposes a command to the current leader until it is applied exactly once. */
  AppliedCommand propose(String command) throws Exception {
    byte[] bytes = command.getBytes(StandardCharsets.UTF_8);
    while (true) {
      Either<LogFailure, AppliedCommand> result = get(logs.get(leader()).propose(bytes));
      if (result.isRight()) {
        return result.get();
      }
      if (!result.getLeft().error().notRun()) {
        throw new AssertionError(result.getLeft());
      }
    }
  }

  /** Returns the commands of a replica after it has applied all acknowledged ones. */
  List<String> read(MemberId member) throws Exception {
    while (get(logs.get(member).readIndex()).isLeft()) {
      leader();
    }
    return machines.get(member).commands();
  }

  static <T> T get(CompletionStage<T> stage) throws Exception {
    return stage.toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void signalStatusChange() {
    synchronized (statusChanged) {
      statusChanged.notifyAll();
    }
  }

  /** Waits for a condition, which is tested at every status change and every 10 ms. */
  void await(String description, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    synchronized (statusChanged) {
      while (!condition.getAsBoolean()) {
        if (System.nanoTime() > end) {
          throw new AssertionError("no " + description + " within " + TIMEOUT_SECONDS + " s");
        }
        statusChanged.wait(10);
      }
    }
  }

  @Override
  public void close() {
    logs.values().forEach(ReplicatedLog::stop);
  }
}
