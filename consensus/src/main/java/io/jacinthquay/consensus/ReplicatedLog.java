package io.jacinthquay.consensus;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * A log that is replicated over the members and applied to a {@link StateMachine} on each.
 *
 * <pre>{@code
 * ReplicatedLog log =
 *     ReplicatedLog.builder()
 *         .member(new MemberId("k1"))
 *         .seeds(Set.of(new MemberId("k1"), new MemberId("k2"), new MemberId("k3")))
 *         .folder(Path.of("data"))
 *         .transport(transport)
 *         .stateMachine(machine)
 *         .build();
 * log.start();
 * log.propose(command).thenAccept(answer -> ...);
 * }</pre>
 *
 * <p>All methods are safe for use by several threads. Completions run on the log's threads and must
 * not block.
 */
public interface ReplicatedLog {
  /**
   * Starts building a log.
   *
   * @return a new builder
   */
  static ReplicatedLogBuilder builder() {
    return new ReplicatedLogBuilder();
  }

  /**
   * Opens the data folder, recovers and takes part.
   *
   * @throws LogException if the folder is locked, foreign or damaged, or can't be read
   */
  void start();

  /** Hands leadership over if possible, stops the threads and closes the folder. Idempotent. */
  void stop();

  /**
   * Proposes a command. Only the leader accepts it; other replicas answer {@link
   * LogError#NOT_LEADER} with a hint.
   *
   * @param command the command, not changed afterwards
   * @return completes once the command is durable on a quorum and applied here, or with a failure;
   *     {@link LogError#notRun()} tells whether it certainly had no effect
   */
  CompletionStage<Either<LogFailure, Applied>> propose(byte[] command);

  /**
   * Confirms with a quorum how far a linearizable read must see. Works on every voter and learner
   * that reaches the leader.
   *
   * @return completes with the read index once the local state machine has applied it, so that
   *     reading the local state then is linearizable
   */
  CompletionStage<Either<LogFailure, Long>> readIndex();

  /**
   * Changes the membership by one replica, on the leader.
   *
   * @param change the change
   * @return completes with the membership once the change is committed
   */
  CompletionStage<Either<LogFailure, Membership>> change(MembershipChange change);

  /**
   * Gives the latest view of this replica.
   *
   * @return the status
   */
  LogStatus status();
}
