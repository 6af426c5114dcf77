package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.ElectionEvent;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.consensus.raft.RaftNode;
import io.jacinthquay.consensus.raft.RaftOptions;
import io.jacinthquay.consensus.raft.RecoveredState;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.LogStorage;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A replica that runs one {@link LogSession} after the other: after a failure of the storage, also
 * at the start, it closes the session and opens the storage again, with exponential back-off, until
 * that succeeds. A start ends with an exception only if an operator has to act.
 */
final class LogRuntime implements ReplicatedLog, LogSession.Listener {
  private static final Logger log = LogManager.getLogger(LogRuntime.class);

  /** Unacknowledged append requests per peer. */
  private static final int MAX_INFLIGHT_APPENDS = 64;

  /** Size of the entries in one append request: 1 MiB. */
  private static final int MAX_APPEND_BYTES = 1 << 20;

  /** Entries that a learner may lack when it becomes a voter. */
  private static final int MAX_PROMOTION_LAG_ENTRIES = 64;

  private static final long MIN_REOPEN_DELAY_MILLIS = 100;
  private static final long MAX_REOPEN_DELAY_MILLIS = 1_000;

  /** Age of a session from which its failure doesn't add to the delay. */
  private static final long STABLE_SESSION_NANOS = 10_000_000_000L;

  private final LogSettings settings;
  private final StorageOpener opener;
  private final PendingCommands pendingCommands = new PendingCommands();
  private final ElectionMonitor elections = new ElectionMonitor(System::nanoTime);
  private final ScheduledExecutorService recovery =
      Executors.newSingleThreadScheduledExecutor(this::newRecoveryThread);
  private boolean started;

  /** The replica that the data folder belongs to; null until it could be opened. */
  private ReplicaId identity;

  /** The newest session; null until the storage could be opened. */
  private volatile LogSession session;

  private volatile long reopenDelayMillis = MIN_REOPEN_DELAY_MILLIS;
  private volatile boolean running;
  private volatile boolean stopping;
  private boolean closed;
  private volatile LogStatus status;

  LogRuntime(LogSettings settings, StorageOpener opener) {
    this.settings = settings;
    this.opener = opener;
    ReplicaId self = ReplicaId.any(settings.member());
    RecoveredState empty = RecoveredState.EMPTY;
    status =
        new RaftNode(raftOptions(), self, settings.seeds(), empty, new SplittableRandom(0), 0)
            .status(0);
  }

  private Thread newRecoveryThread(Runnable task) {
    Thread thread = new Thread(task, "log-recovery-" + settings.member());
    thread.setDaemon(true);
    return thread;
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
    if (started) {
      throw new IllegalStateException("the log was already started");
    }
    started = true;
    // Requests may come before the storage is open.
    status = status.failed();
    running = true;
    try {
      openSession();
      log.info("replica {} started with term {}", identity, status.term());
    } catch (IOException e) {
      startFailed(e);
    } catch (LogException e) {
      if (!e.failure().error().mayPass()) {
        abandonStart();
        throw e;
      }
      startFailed(e);
    } catch (RuntimeException | Error e) {
      abandonStart();
      throw e;
    }
    settings.transport().start(this::receive);
  }

  /** Opens the storage and starts a session on it. */
  private void openSession() throws IOException {
    LogStorage storage = openStorage();
    if (identity != null && !storage.self().equals(identity)) {
      storage.close();
      String detail = "the data folder was replaced by one of " + storage.self();
      settings.onFatal().accept(new IOException(detail));
      return;
    }
    identity = storage.self();
    LogSession next =
        newSession(storage, session == null ? SnapshotMeta.NONE : session.lastApplied());
    session = next;
    next.start();
  }

  private void startFailed(Exception cause) {
    statusChanged(status.failed());
    scheduleReopen();
    log.error(
        "replica {} can't open its storage; it takes no part until the storage works",
        status.self(),
        cause);
  }

  private void abandonStart() {
    running = false;
    closed = session == null || session.close();
  }

  private LogStorage openStorage() {
    return opener.open(settings.folder(), settings.member(), settings.options().segmentBytes());
  }

  private LogSession newSession(LogStorage storage, SnapshotMeta applied) {
    return new LogSession(
        settings, raftOptions(), storage, applied, pendingCommands, elections, this);
  }

  @Override
  public void sessionFailed(Throwable cause) {
    if (session.ageNanos() > STABLE_SESSION_NANOS) {
      reopenDelayMillis = MIN_REOPEN_DELAY_MILLIS;
    }
    scheduleReopen();
    log.error(
        "storage of replica {} failed; it takes no part until the storage works again",
        status.self(),
        cause);
  }

  private void scheduleReopen() {
    if (!running) {
      return;
    }
    long delayMillis = reopenDelayMillis;
    reopenDelayMillis = Math.min(2 * delayMillis, MAX_REOPEN_DELAY_MILLIS);
    var unused = recovery.schedule(this::reopenGuarded, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void reopenGuarded() {
    try {
      reopen();
    } catch (Throwable e) {
      if (endsStart(e)) {
        log.fatal("replica {} can't start", status.self(), e);
        settings.onFatal().accept(e);
        return;
      }
      long delayMillis = reopenDelayMillis;
      scheduleReopen();
      log.warn(
          "storage of replica {} still fails; next attempt in {} ms: {}",
          status.self(),
          delayMillis,
          e.toString());
    }
  }

  /** Returns whether a replica that has not taken part yet can't do so without an operator. */
  private boolean endsStart(Throwable cause) {
    boolean tookPart = status.self().incarnation() != ReplicaId.ANY_INCARNATION;
    return !tookPart && cause instanceof LogException e && !e.failure().error().mayPass();
  }

  private synchronized void reopen() throws IOException {
    if (!running) {
      return;
    }
    boolean previousEnded = session == null || session.close();
    if (status.role() != Role.FAILED) {
      statusChanged(status.failed());
    }
    if (!previousEnded) {
      throw new IOException("a write of the failed attempt has not returned");
    }
    openSession();
    log.warn("storage of replica {} works again", status.self());
  }

  @Override
  public void stateMachineFailed(Throwable cause) {
    log.fatal("state machine of replica {} failed; it takes no part", status.self(), cause);
    settings.onFatal().accept(cause);
  }

  @Override
  public synchronized boolean stop() {
    if (running) {
      transferLeadership();
      running = false;
      settings.transport().stop();
      recovery.shutdown();
    }
    if (!closed) {
      closed = session == null || session.close();
    }
    if (!closed) {
      log.warn("replica {} was stopped while a write has not returned", status.self());
    }
    return closed;
  }

  private void transferLeadership() {
    stopping = true;
    boolean onlyVoter = status.membership().voters().size() < 2;
    if (!status.isLeader() || onlyVoter) {
      return;
    }
    try {
      boolean transferred = session.transferLeadership();
      log.info("replica {} transferred leadership before stopping: {}", status.self(), transferred);
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
    return submit(result, current -> current.propose(command, result));
  }

  @Override
  public CompletionStage<Either<LogFailure, Membership>> change(MembershipChange change) {
    PendingResult<Membership> result =
        new PendingResult<>(deadline(), (index, bytes) -> status.membership());
    return submit(result, current -> current.change(change, result));
  }

  @Override
  public CompletionStage<Either<LogFailure, Long>> readIndex() {
    PendingResult<Long> result = new PendingResult<>(deadline(), (index, bytes) -> index);
    return submit(result, current -> current.readIndex(result));
  }

  private long deadline() {
    return System.nanoTime() + settings.options().proposalTimeout().toNanos();
  }

  private <T> CompletionStage<Either<LogFailure, T>> submit(
      PendingResult<T> result, Predicate<LogSession> request) {
    if (!running || stopping) {
      return failed(LogFailure.of(LogError.STOPPED, "the log is not running"));
    }
    if (status.role() == Role.FAILED) {
      return failed(LogFailure.of(LogError.STORAGE_FAILED, "the storage of the replica failed"));
    }
    if (!request.test(session)) {
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

  @Override
  public void avoidLeader(MemberId leader) {
    LogSession current = session;
    if (current != null && running) {
      current.avoidLeader(leader);
    }
  }

  @Override
  public Map<ElectionEvent.Kind, Long> electionCounts() {
    return elections.counts();
  }

  private void receive(Message message) {
    LogSession current = session;
    if (current != null) {
      current.receive(message);
    }
  }

  @Override
  public void statusChanged(LogStatus newStatus) {
    LogStatus previous = status;
    status = newStatus;
    if (changed(previous, LogStatus::role)
        || changed(previous, LogStatus::term)
        || changed(previous, LogStatus::leader)
        || changed(previous, LogStatus::membership)) {
      log.info(
          "replica {} is {} in term {} with {}",
          newStatus.self(),
          newStatus.role(),
          newStatus.term(),
          newStatus.membership());
      settings.listener().statusChanged(newStatus);
    }
  }

  private boolean changed(LogStatus previous, Function<LogStatus, Object> component) {
    return !component.apply(previous).equals(component.apply(status));
  }
}
