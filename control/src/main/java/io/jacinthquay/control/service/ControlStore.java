package io.jacinthquay.control.service;

import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Proposes changes of the replicated state and reads it. */
public final class ControlStore {
  private final int minVoters;
  private volatile ReplicatedLog log;
  private volatile ControlState state;

  /**
   * Returns a store for a log and the state machine that the log drives.
   *
   * @param minVoters number of voters below which every proposal is rejected, since a majority of
   *     fewer voters could be lost at the same time
   */
  public ControlStore(ReplicatedLog log, ControlState state, int minVoters) {
    this.minVoters = minVoters;
    this.log = log;
    this.state = state;
  }

  /** Replaces the log and the state after this replica was removed and rejoins as a new one. */
  public void replace(ReplicatedLog newLog, ControlState newState) {
    log = newLog;
    state = newState;
  }

  /** Returns the newest state of this replica, which may lack committed changes. */
  public ControlTables tables() {
    return state.tables();
  }

  /** Returns this VM's view of the log. */
  public LogStatus status() {
    return log.status();
  }

  /** Returns the leader, if known. */
  public Optional<MemberId> leader() {
    return log.status().leader().map(replica -> replica.member());
  }

  /** Reports that the leader answers no calls. */
  public void avoidLeader(MemberId leader) {
    log.avoidLeader(leader);
  }

  /**
   * Commits a command that every replica can apply; rejects any other before it is replicated.
   *
   * @return a stage that completes once the command is durable on a quorum and applied here, or
   *     with a failure
   */
  public CompletionStage<Either<Failure, Void>> propose(byte[] command) {
    int voters = log.status().membership().voters().size();
    if (voters < minVoters) {
      String detail = "only " + voters + " of " + minVoters + " voters have joined";
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.NOT_READY, detail)));
    }
    Optional<Failure> inapplicable = ControlState.inapplicable(command);
    if (inapplicable.isPresent()) {
      return CompletableFuture.completedFuture(Either.left(inapplicable.get()));
    }
    return log.propose(command)
        .thenApply(result -> result.bimap(ControlStore::failure, applied -> null));
  }

  /** Returns a state that holds every change that was committed before this call. */
  public CompletionStage<Either<Failure, ControlTables>> read() {
    return log.readIndex()
        .thenApply(result -> result.bimap(ControlStore::failure, index -> state.tables()));
  }

  private static Failure failure(LogFailure failure) {
    ResultCode code = failure.error().resultCode();
    return Failure.of(code, failure.detail());
  }
}
