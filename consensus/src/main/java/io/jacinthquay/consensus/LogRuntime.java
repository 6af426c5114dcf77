package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.consensus.raft.RaftNode;
import io.jacinthquay.consensus.raft.RaftOptions;
import io.jacinthquay.consensus.raft.Ready;
import io.jacinthquay.consensus.raft.Recovered;
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
 * Drives a {@link RaftNode}: one thread runs the protocol, one the storage, one the state machine
 * and one writes snapshots. Only the protocol thread touches the node.
 */
final class LogRuntime implements ReplicatedLog, StorageWorker.Reports {
  private static final Logger log = LogManager.getLogger(LogRuntime.class);
  private static final int TICKS_PER_HEARTBEAT = 5;
  private static final int MAX_QUEUED_EVENTS = 16_384;
  private static final int MAX_PENDING_COMMANDS = 16_384;
  private static final int MAX_INFLIGHT = 64;
  private static final int MAX_APPEND_BYTES = 1 << 20;
  private static final int PROMOTE_LAG = 64;

  private final LogSettings settings;
  private final StorageOpener opener;
  private final PendingCommands pending = new PendingCommands();
  private final CountDownLatch handedOver = new CountDownLatch(1);
  private final long tickNanos;
  private LogStorage storage;
  private RaftNode node;
  private StorageWorker storageWorker;
  private Applier applier;
  private PendingReads reads;
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
    ReplicaId unknown = ReplicaId.any(settings.member());
    Recovered nothing = Recovered.EMPTY;
    status =
        new RaftNode(raftOptions(), unknown, settings.seeds(), nothing, new SplittableRandom(0), 0)
            .status(0);
  }

  private RaftOptions raftOptions() {
    LogOptions options = settings.options();
    return new RaftOptions(
        options.heartbeatInterval().toNanos(),
        options.electionTimeout().toNanos(),
        options.proposalTimeout().toNanos(),
        MAX_INFLIGHT,
        MAX_APPEND_BYTES,
        PROMOTE_LAG,
        options.autoReplace(),
        options.targetVoters());
  }

  @Override
  public synchronized void start() {
    if (storage != null) {
      throw new IllegalStateException("already started");
    }
    LogOptions options = settings.options();
    storage = opener.open(settings.folder(), settings.member(), options.segmentBytes());
    Recovered recovered = storage.takeRecovered();
    snapshotWriter = Executors.newSingleThreadExecutor(LogRuntime::snapshotThread);
    applier = new Applier(settings, storage, pending, this::saveSnapshot, this::fail);
    reads = new PendingReads(applier);
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

  private static Thread snapshotThread(Runnable task) {
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
    handOver();
    running = false;
    settings.transport().stop();
    loop.stop();
    storageWorker.stop();
    snapshotWriter.shutdown();
    applier.stop();
    pending.failAll("the log was stopped");
    reads.failAll(LogFailure.of(LogError.STOPPED, "the log was stopped"));
    closeStorage();
  }

  private void handOver() {
    stopping = true;
    boolean alone = status.membership().voters().size() < 2;
    if (!status.isLeader() || alone) {
      return;
    }
    loop.add(() -> node.handOver(now()));
    try {
      long limit = settings.options().electionTimeout().toNanos();
      boolean done = handedOver.await(limit, TimeUnit.NANOSECONDS);
      log.info("replica {} handed leadership over: {}", status.self(), done);
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
      log.warn("closing the data folder failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public CompletionStage<Either<LogFailure, Applied>> propose(byte[] command) {
    if (command.length > settings.options().maxCommandBytes()) {
      String detail = command.length + " bytes exceed " + settings.options().maxCommandBytes();
      return refused(LogFailure.of(LogError.TOO_LARGE, detail));
    }
    Answer<Applied> answer = new Answer<>(deadline(), Applied::new);
    return submit(answer, () -> enter(answer, now -> node.propose(command, now)));
  }

  @Override
  public CompletionStage<Either<LogFailure, Membership>> change(MembershipChange change) {
    Answer<Membership> answer = new Answer<>(deadline(), (index, result) -> status.membership());
    return submit(answer, () -> enter(answer, now -> node.change(change, now)));
  }

  private void enter(Answer<?> answer, LongFunction<Either<LogFailure, Entry>> proposal) {
    if (pending.size() >= MAX_PENDING_COMMANDS) {
      answer.fail(LogFailure.of(LogError.OVERLOADED, "too many commands are under way"));
      return;
    }
    proposal.apply(now()).peek(entry -> pending.add(entry, answer)).peekLeft(answer::fail);
  }

  @Override
  public CompletionStage<Either<LogFailure, Long>> readIndex() {
    Answer<Long> answer = new Answer<>(deadline(), (index, result) -> index);
    return submit(answer, () -> reads.add(node.readIndex(now()), answer));
  }

  private long deadline() {
    return now() + settings.options().proposalTimeout().toNanos();
  }

  private <T> CompletionStage<Either<LogFailure, T>> submit(Answer<T> answer, Runnable event) {
    if (!running || stopping) {
      return refused(LogFailure.of(LogError.STOPPED, "the log is not running"));
    }
    if (status.role() == Role.FAILED) {
      return refused(LogFailure.of(LogError.STORAGE_FAILED, "storage failed before"));
    }
    if (!loop.offer(event, MAX_QUEUED_EVENTS)) {
      return refused(LogFailure.of(LogError.OVERLOADED, "the queue is full"));
    }
    return answer.stage();
  }

  private static <T> CompletionStage<Either<LogFailure, T>> refused(LogFailure failure) {
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
      carryOut(node.drain());
      publishStatus();
    } catch (RuntimeException e) {
      log.fatal("replica {} stops taking part", status.self(), e);
      failNode();
    }
  }

  private void tickIfDue() {
    long now = now();
    if (now - nextTick >= 0) {
      nextTick = now + tickNanos;
      node.tick(now);
      pending.expire(now);
      reads.expire(now);
    }
  }

  private void carryOut(Ready ready) {
    ready.immediate().forEach(settings.transport()::send);
    if (ready.needsStorage()) {
      storageWorker.add(ready);
    }
    ready.restore().ifPresent(applier::restore);
    if (!ready.committed().isEmpty()) {
      applier.apply(ready.committed());
    }
    ready.reads().forEach(read -> reads.confirmed(read.requestId(), read.index()));
  }

  private void publishStatus() {
    LogStatus before = status;
    status = node.status(applier.appliedIndex());
    if (stopping && !status.isLeader()) {
      handedOver.countDown();
    }
    if (changed(before, LogStatus::role)
        || changed(before, LogStatus::term)
        || changed(before, LogStatus::leader)
        || changed(before, LogStatus::membership)) {
      log.info(
          "replica {} is {} in term {} with {}",
          status.self(),
          status.role(),
          status.term(),
          status.membership());
      settings.listener().statusChanged(status);
    }
  }

  private boolean changed(LogStatus before, Function<LogStatus, Object> part) {
    return !part.apply(before).equals(part.apply(status));
  }

  private void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) {
    snapshotWriter.execute(
        () -> {
          try {
            storage.saveSnapshot(meta, writer);
            loop.add(() -> compact(meta));
          } catch (IOException e) {
            failed(e);
          }
        });
  }

  private void compact(SnapshotMeta meta) {
    long obsolete = node.snapshotSaved(meta, settings.options().retainedEntries());
    storageWorker.compactTo(obsolete);
  }

  @Override
  public void persisted(long sequence) {
    loop.add(() -> node.persisted(sequence, now()));
  }

  @Override
  public void snapshotInstalled(SnapshotMeta meta) {
    loop.add(() -> node.snapshotInstalled(meta, now()));
  }

  @Override
  public void snapshotRefused() {
    loop.add(() -> node.snapshotRefused(now()));
  }

  @Override
  public void failed(IOException cause) {
    log.error("storage of {} failed; it steps down until restarted", status.self(), cause);
    loop.add(this::failNode);
  }

  private void fail(Throwable cause) {
    log.error("state machine of {} failed; it steps down", status.self(), cause);
    loop.add(this::failNode);
  }

  private void failNode() {
    node.storageFailed(now());
    pending.failAll("storage failed");
  }
}
