package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
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
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a {@link RaftNode} on an opened storage until its first failure. Four threads: one each for
 * the protocol, the storage, the state machine and for writing snapshots. Only the protocol thread
 * accesses the node.
 */
final class LogSession implements StorageWorker.Listener, Applier.FailureListener {
  /** Receives what happens in a session, on any of its threads. */
  interface Listener {
    void statusChanged(LogStatus status);

    /** Called once, if the session can't go on; another session may go on from the storage. */
    void sessionFailed(Throwable cause);

    /** Called if the state machine is in an undefined state, so that no other session may go on. */
    void stateMachineFailed(Throwable cause);
  }

  private static final Logger log = LogManager.getLogger();
  private static final int TICKS_PER_HEARTBEAT = 5;
  private static final int MAX_QUEUED_EVENTS = 16_384;
  private static final int MAX_PENDING_COMMANDS = 16_384;

  private final LogSettings settings;
  private final LogStorage storage;
  private final PendingCommands pendingCommands;
  private final ElectionMonitor elections;
  private final Listener listener;
  private final HardState recoveredHardState;
  private final SnapshotMeta recoveredSnapshot;
  private final boolean holdsApplied;
  private final SnapshotMeta applied;
  private final RaftNode node;
  private final Applier applier;
  private final PendingReads pendingReads;
  private final StorageWorker storageWorker;
  private final Worker<Runnable> loop;
  private final ExecutorService snapshotWriter;
  private final AtomicBoolean failed = new AtomicBoolean();
  private final long tickNanos;
  private final long startNanos = now();
  private long nextTick;
  private boolean nodeFailed;
  private boolean protocolFailed;
  private boolean started;
  private volatile Optional<CountDownLatch> leadershipLost = Optional.empty();

  /**
   * Creates a session.
   *
   * @param storage the storage, which the session closes
   * @param applied the last entry that the state machine has applied, or {@link SnapshotMeta#NONE}
   */
  LogSession(
      LogSettings settings,
      RaftOptions raftOptions,
      LogStorage storage,
      SnapshotMeta applied,
      PendingCommands pendingCommands,
      ElectionMonitor elections,
      Listener listener) {
    this.settings = settings;
    this.storage = storage;
    this.applied = applied;
    this.pendingCommands = pendingCommands;
    this.elections = elections;
    this.listener = listener;
    RecoveredState recovered = storage.takeRecovered();
    recoveredHardState = recovered.hardState();
    recoveredSnapshot = recovered.snapshot();
    holdsApplied =
        applied.index() <= recoveredSnapshot.index()
            || recovered.entries().stream().anyMatch(this::isLastApplied);
    tickNanos = settings.options().heartbeatInterval().toNanos() / TICKS_PER_HEARTBEAT;
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    node = new RaftNode(raftOptions, storage.self(), settings.seeds(), recovered, random, now());
    snapshotWriter = Executors.newSingleThreadExecutor(LogSession::newSnapshotThread);
    applier = new Applier(settings, storage, pendingCommands, this::saveSnapshot, this);
    pendingReads = new PendingReads(applier);
    storageWorker = new StorageWorker(settings.member(), storage, settings.transport(), this);
    loop = new Worker<>("log-raft-" + settings.member(), tickNanos, this::handle, this::fail);
  }

  private static Thread newSnapshotThread(Runnable task) {
    Thread thread = new Thread(task, "log-snapshot");
    thread.setDaemon(true);
    return thread;
  }

  private static long now() {
    return System.nanoTime();
  }

  /**
   * Checks that the storage holds what was applied, stores the term and vote again and starts the
   * threads.
   *
   * @throws IOException if the disk fails
   * @throws LogException if entries that were applied are missing or the snapshot can't be loaded
   */
  void start() throws IOException {
    checkApplied();
    // What was read may not be durable, if an earlier write failed after its rename.
    storage.saveHardState(recoveredHardState);
    started = true;
    loadSnapshot();
    listener.statusChanged(node.status(applier.appliedIndex()));
    storageWorker.start();
    loop.start();
  }

  private void loadSnapshot() {
    try {
      applier.start(recoveredSnapshot, applied);
    } catch (IOException e) {
      String detail =
          "snapshot " + recoveredSnapshot.index() + " can't be loaded: " + e.getMessage();
      throw new LogException(LogFailure.of(LogError.STORAGE_CORRUPT, detail), e);
    }
  }

  private void checkApplied() {
    if (!holdsApplied) {
      String detail = "entry " + applied.index() + " was applied, but is missing in the log";
      throw new LogException(LogFailure.of(LogError.STORAGE_CORRUPT, detail), null);
    }
  }

  private boolean isLastApplied(Entry entry) {
    return entry.index() == applied.index() && entry.term() == applied.term();
  }

  /** Returns how long ago this session was created, in nanoseconds. */
  long ageNanos() {
    return now() - startNanos;
  }

  /**
   * Stops the threads, fails what is pending and closes the storage. May be called again if it
   * returns false.
   *
   * @return whether everything has ended; if not, the disk may still be busy with a write
   */
  boolean close() {
    boolean ended = loop.stop();
    ended &= storageWorker.stop();
    ended &= applier.stop();
    snapshotWriter.shutdown();
    ended &= awaitSnapshotWriter();
    pendingCommands.failAll("the log was stopped or failed before the command was applied");
    if (!ended) {
      return false;
    }
    pendingReads.failAll(LogFailure.of(LogError.STOPPED, "the log was stopped or failed"));
    closeStorage();
    return true;
  }

  private boolean awaitSnapshotWriter() {
    try {
      return snapshotWriter.awaitTermination(
          settings.options().proposalTimeout().toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void closeStorage() {
    try {
      storage.close();
    } catch (IOException e) {
      log.warn("failed to close the data folder", e);
    }
  }

  /** Returns the last entry that the state machine has applied. Valid after {@link #close}. */
  SnapshotMeta lastApplied() {
    return started ? applier.lastApplied() : applied;
  }

  /** Transfers leadership; returns whether this replica lost it within the election timeout. */
  boolean transferLeadership() throws InterruptedException {
    CountDownLatch lost = new CountDownLatch(1);
    leadershipLost = Optional.of(lost);
    loop.add(() -> node.transferLeadership(now()));
    long timeoutNanos = settings.options().electionTimeout().toNanos();
    return lost.await(timeoutNanos, TimeUnit.NANOSECONDS);
  }

  void receive(Message message) {
    loop.offer(() -> node.receive(message, now()), MAX_QUEUED_EVENTS);
  }

  void avoidLeader(MemberId leader) {
    loop.offer(() -> node.avoidLeader(leader, now()), MAX_QUEUED_EVENTS);
  }

  /** Queues a command; returns false if the queue is full or the session has ended. */
  boolean propose(byte[] command, PendingResult<AppliedCommand> result) {
    return submit(result, () -> proposeAndTrack(result, now -> node.propose(command, now)));
  }

  /** Queues a membership change; returns false if the queue is full or the session has ended. */
  boolean change(MembershipChange change, PendingResult<Membership> result) {
    return submit(
        result, () -> proposeAndTrack(result, now -> node.proposeMembershipChange(change, now)));
  }

  /** Queues a read; returns false if the queue is full or the session has ended. */
  boolean readIndex(PendingResult<Long> result) {
    return submit(result, () -> pendingReads.add(node.readIndex(now()), result));
  }

  private boolean submit(PendingResult<?> result, Runnable event) {
    return loop.offer(
        () -> {
          if (nodeFailed) {
            result.fail(LogFailure.of(LogError.STORAGE_FAILED, "the replica failed"));
          } else {
            event.run();
          }
        },
        MAX_QUEUED_EVENTS);
  }

  private void proposeAndTrack(
      PendingResult<?> result, LongFunction<Either<LogFailure, Entry>> proposal) {
    if (pendingCommands.size() >= MAX_PENDING_COMMANDS) {
      result.fail(LogFailure.of(LogError.OVERLOADED, "too many commands are pending"));
      return;
    }
    proposal.apply(now()).peek(entry -> pendingCommands.add(entry, result)).peekLeft(result::fail);
  }

  private void handle(List<Runnable> batch) {
    batch.forEach(this::run);
    run(this::advance);
  }

  /** Runs a step of the protocol; after an error the remaining steps find the node failed. */
  private void run(Runnable step) {
    try {
      step.run();
    } catch (Throwable e) {
      protocolFailed = true;
      fail(e);
      failNode();
    }
  }

  private void advance() {
    if (protocolFailed) {
      return;
    }
    long now = now();
    if (now - nextTick >= 0) {
      nextTick = now + tickNanos;
      node.tick(now);
      pendingCommands.expire(now);
      pendingReads.expire(now);
    }
    process(node.drain());
    LogStatus status = node.status(applier.appliedIndex());
    listener.statusChanged(status);
    if (!status.isLeader()) {
      leadershipLost.ifPresent(CountDownLatch::countDown);
    }
  }

  private void process(Ready ready) {
    ready.electionEvents().forEach(event -> elections.record(storage.self(), event));
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

  private void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) {
    try {
      snapshotWriter.execute(() -> writeSnapshot(meta, writer));
    } catch (RejectedExecutionException e) {
      // The session is closing; the next one takes a snapshot when one is due.
      return;
    }
  }

  private void writeSnapshot(SnapshotMeta meta, SnapshotWriter writer) {
    try {
      storage.saveSnapshot(meta, writer);
      loop.add(() -> compact(meta));
    } catch (Throwable e) {
      storageFailed(e);
    }
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
  public void storageFailed(Throwable cause) {
    fail(cause);
    loop.add(this::failNode);
  }

  @Override
  public void loadFailed(IOException cause) {
    storageFailed(cause);
  }

  @Override
  public void stateMachineFailed(Throwable cause) {
    if (failed.compareAndSet(false, true)) {
      listener.stateMachineFailed(cause);
    }
    loop.add(this::failNode);
  }

  private void fail(Throwable cause) {
    if (failed.compareAndSet(false, true)) {
      listener.sessionFailed(cause);
    }
  }

  private void failNode() {
    if (nodeFailed) {
      return;
    }
    nodeFailed = true;
    node.onStorageFailed(now());
    pendingCommands.failAll("the replica failed before the command was applied");
    pendingReads.failAll(LogFailure.of(LogError.STORAGE_FAILED, "the replica failed"));
  }
}
