package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.consensus.raft.RaftNode;
import io.jacinthquay.consensus.raft.RaftOptions;
import io.jacinthquay.consensus.raft.Ready;
import io.jacinthquay.consensus.raft.RecoveredState;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.LogStorage;
import io.vavr.control.Either;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a {@link RaftNode} on four threads: one each for the protocol, the storage, the state
 * machine and for writing snapshots. Only the protocol thread accesses the node.
 */
final class LogRuntime implements ReplicatedLog, StorageWorker.Listener {
  private static final Logger log = LogManager.getLogger(LogRuntime.class);
  private static final int TICKS_PER_HEARTBEAT = 5;
  private static final int MAX_QUEUED_EVENTS = 16_384;
  private static final int MAX_PENDING_COMMANDS = 16_384;

  /** Unacknowledged append requests per peer. */
  private static final int MAX_INFLIGHT_APPENDS = 64;

  /** Size of the entries in one append request: 1 MiB. */
  private static final int MAX_APPEND_BYTES = 1 << 20;

  /** Entries that a learner may lack when it becomes a voter. */
  private static final int MAX_PROMOTION_LAG_ENTRIES = 64;

  private final LogSettings settings;
  private final StorageOpener opener;
  private final PendingCommands pendingCommands = new PendingCommands();
  private final CountDownLatch leadershipTransferred = new CountDownLatch(1);
  private final long tickNanos;
  private LogStorage storage;
  private RaftNode node;
  private StorageWorker storageWorker;
  private Applier applier;
  private PendingReads pendingReads;
  private ExecutorService snapshotWriter;
  private Worker<Runnable> loop;
  private long nextTick;
  private volatile boolean running;
  private volatile boolean stopping;
  private volatile LogStatus status;

  LogRuntime(LogSettings settings, StorageOpener opener) {
    this.settings = settings;
    this.opener = opener;
    tickNanos = settings.options().heartbeatInterval().toNanos() / TICKS_PER_HEARTBEAT;
    ReplicaId self = ReplicaId.any(settings.member());
    RecoveredState empty = RecoveredState.EMPTY;
    status =
        new RaftNode(raftOptions(), self, settings.seeds(), empty, new SplittableRandom(0), 0)
            .status(0);
  }

  private RaftOptions raftOptions() {
    LogOptions options = settings.options();
    return new RaftOptions(
        options.heartbeatInterval().toNanos(),
        options.electionTimeout().toNanos(),
        options.proposalTimeout().toNanos(),
        MAX_INFLIGHT_APPENDS,
        MAX_APPEND_BYTES,
        MAX_PROMOTION_LAG_ENTRIES,
        options.autoReplace(),
        options.targetVoters());
  }

  @Override
  public synchronized void start() {
    if (storage != null) {
      throw new IllegalStateException("the log was already started");
    }
    LogOptions options = settings.options();
    storage = opener.open(settings.folder(), settings.member(), options.segmentBytes());
    RecoveredState recovered = storage.takeRecovered();
    snapshotWriter = Executors.newSingleThreadExecutor(LogRuntime::newSnapshotThread);
    applier =
        new Applier(
            settings, storage, pendingCommands, this::saveSnapshot, this::stateMachineFailed);
    pendingReads = new PendingReads(applier);
    storageWorker = new StorageWorker(settings.member(), storage, settings.transport(), this);
    loop = new Worker<>("log-raft-" + settings.member(), tickNanos, this::handle);
    startApplier(recovered.snapshot());
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    node = new RaftNode(raftOptions(), storage.self(), settings.seeds(), recovered, random, now());
    status = node.status(applier.appliedIndex());
    running = true;
    storageWorker.start();
    loop.start();
    settings.transport().start(this::receive);
    log.info("replica {} started with term {}", storage.self(), status.term());
  }

  private void startApplier(SnapshotMeta snapshot) {
    try {
      applier.start(snapshot);
    } catch (IOException e) {
      closeStorage();
      String detail = "snapshot " + snapshot.index() + " can't be loaded: " + e.getMessage();
      throw new LogException(LogFailure.of(LogError.STORAGE_CORRUPT, detail), e);
    }
  }

  private static Thread newSnapshotThread(Runnable task) {
    Thread thread = new Thread(task, "log-snapshot");
    thread.setDaemon(true);
    return thread;
  }

  private static long now() {
    return System.nanoTime();
  }

  @Override
  public synchronized void stop() {
    if (!running) {
      return;
    }
    transferLeadership();
    running = false;
    settings.transport().stop();
    loop.stop();
    storageWorker.stop();
    snapshotWriter.shutdown();
    applier.stop();
    pendingCommands.failAll("the log was stopped");
    pendingReads.failAll(LogFailure.of(LogError.STOPPED, "the log was stopped"));
    closeStorage();
  }

  private void transferLeadership() {
    stopping = true;
    boolean onlyVoter = status.membership().voters().size() < 2;
    if (!status.isLeader() || onlyVoter) {
      return;
    }
    loop.add(() -> node.transferLeadership(now()));
    try {
      long timeoutNanos = settings.options().electionTimeout().toNanos();
      boolean transferred = leadershipTransferred.await(timeoutNanos, TimeUnit.NANOSECONDS);
      log.info("replica {} transferred leadership before stopping: {}", status.self(), transferred);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeStorage() {
    try {
      snapshotWriter.awaitTermination(
          settings.options().proposalTimeout().toNanos(), TimeUnit.NANOSECONDS);
      storage.close();
    } catch (IOException e) {
      log.warn("failed to close the data folder", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public CompletionStage<Either<LogFailure, AppliedCommand>> propose(byte[] command) {
    if (command.length > settings.options().maxCommandBytes()) {
      String detail =
          command.length + " bytes exceed the limit of " + settings.options().maxCommandBytes();
      return failed(LogFailure.of(LogError.TOO_LARGE, detail));
    }
    PendingResult<AppliedCommand> result = new PendingResult<>(deadline(), AppliedCommand::new);
    return submit(result, () -> proposeAndTrack(result, now -> node.propose(command, now)));
  }

  @Override
  public CompletionStage<Either<LogFailure, Membership>> change(MembershipChange change) {
    PendingResult<Membership> result =
        new PendingResult<>(deadline(), (index, bytes) -> status.membership());
    return submit(
        result, () -> proposeAndTrack(result, now -> node.proposeMembershipChange(change, now)));
  }

  private void proposeAndTrack(
      PendingResult<?> result, LongFunction<Either<LogFailure, Entry>> proposal) {
    if (pendingCommands.size() >= MAX_PENDING_COMMANDS) {
      result.fail(LogFailure.of(LogError.OVERLOADED, "too many commands are pending"));
      return;
    }
    proposal.apply(now()).peek(entry -> pendingCommands.add(entry, result)).peekLeft(result::fail);
  }

  @Override
  public CompletionStage<Either<LogFailure, Long>> readIndex() {
    PendingResult<Long> result = new PendingResult<>(deadline(), (index, bytes) -> index);
    return submit(result, () -> pendingReads.add(node.readIndex(now()), result));
  }

  private long deadline() {
    return now() + settings.options().proposalTimeout().toNanos();
  }

  private <T> CompletionStage<Either<LogFailure, T>> submit(
      PendingResult<T> result, Runnable event) {
    if (!running || stopping) {
      return failed(LogFailure.of(LogError.STOPPED, "the log is not running"));
    }
    if (status.role() == Role.FAILED) {
      return failed(
          LogFailure.of(
              LogError.STORAGE_FAILED, "storage failed earlier; the replica must be restarted"));
    }
    if (!loop.offer(event, MAX_QUEUED_EVENTS)) {
      return failed(LogFailure.of(LogError.OVERLOADED, "the event queue is full"));
    }
    return result.stage();
  }

  private static <T> CompletionStage<Either<LogFailure, T>> failed(LogFailure failure) {
    return CompletableFuture.completedFuture(Either.left(failure));
  }

  @Override
  public LogStatus status() {
    return status;
  }

  private void receive(Message message) {
    loop.offer(() -> node.receive(message, now()), MAX_QUEUED_EVENTS);
  }

  private void handle(List<Runnable> batch) {
    try {
      batch.forEach(Runnable::run);
      tickIfDue();
      process(node.drain());
      publishStatus();
    } catch (RuntimeException e) {
      log.fatal("replica {} failed and stops participating", status.self(), e);
      failNode();
    }
  }

  private void tickIfDue() {
    long now = now();
    if (now - nextTick >= 0) {
      nextTick = now + tickNanos;
      node.tick(now);
      pendingCommands.expire(now);
      pendingReads.expire(now);
    }
  }

  private void process(Ready ready) {
    ready.immediateMessages().forEach(settings.transport()::send);
    if (ready.needsStorage()) {
      storageWorker.add(ready);
    }
    ready.restore().ifPresent(applier::restore);
    if (!ready.committed().isEmpty()) {
      applier.apply(ready.committed());
    }
    ready.reads().forEach(read -> pendingReads.confirmed(read.requestId(), read.index()));
  }

  private void publishStatus() {
    LogStatus previous = status;
    status = node.status(applier.appliedIndex());
    if (stopping && !status.isLeader()) {
      leadershipTransferred.countDown();
    }
    if (changed(previous, LogStatus::role)
        || changed(previous, LogStatus::term)
        || changed(previous, LogStatus::leader)
        || changed(previous, LogStatus::membership)) {
      log.info(
          "replica {} is {} in term {} with {}",
          status.self(),
          status.role(),
          status.term(),
          status.membership());
      settings.listener().statusChanged(status);
    }
  }

  private boolean changed(LogStatus previous, Function<LogStatus, Object> component) {
    return !component.apply(previous).equals(component.apply(status));
  }

  private void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) {
    snapshotWriter.execute(
        () -> {
          try {
            storage.saveSnapshot(meta, writer);
            loop.add(() -> compact(meta));
          } catch (IOException e) {
            storageFailed(e);
          }
        });
  }

  private void compact(SnapshotMeta meta) {
    long obsoleteIndex = node.onSnapshotSaved(meta, settings.options().retainedEntries());
    storageWorker.compactTo(obsoleteIndex);
  }

  @Override
  public void persisted(long sequence) {
    loop.add(() -> node.onPersisted(sequence, now()));
  }

  @Override
  public void snapshotInstalled(SnapshotMeta meta) {
    loop.add(() -> node.onSnapshotInstalled(meta, now()));
  }

  @Override
  public void snapshotRejected() {
    loop.add(() -> node.onSnapshotDamaged(now()));
  }

  @Override
  public void storageFailed(IOException cause) {
    log.error(
        "storage of replica {} failed; it steps down until it is restarted", status.self(), cause);
    loop.add(this::failNode);
  }

  private void stateMachineFailed(Throwable cause) {
    log.error("state machine of replica {} failed; it steps down", status.self(), cause);
    loop.add(this::failNode);
  }

  private void failNode() {
    node.onStorageFailed(now());
    pendingCommands.failAll("the replica failed before the command was applied");
  }
}
