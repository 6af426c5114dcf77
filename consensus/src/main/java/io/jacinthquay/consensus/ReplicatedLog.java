package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.ElectionEvent;
import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/**
 * A log that is replicated to all members and applied to a {@link StateMachine} on each of them.
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
 * log.propose(command).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>All methods are thread-safe. Completions run on the threads of the log and must not block.
 */
public interface ReplicatedLog {
  /**
   * Returns a builder for a log.
   *
   * @return a new builder
   */
  static ReplicatedLogBuilder builder() {
    return new ReplicatedLogBuilder();
  }

  /**
   * Opens the data folder, recovers its state and starts to participate in the cluster. If the disk
   * refuses or another process locks the folder, the replica has the role {@link Role#FAILED} and
   * tries again until it can open the folder.
   *
   * @throws LogException if the folder belongs to another member, is no folder or is damaged
   * @throws IllegalStateException if the log was started before
   */
  void start();

  /**
   * Transfers leadership if possible, stops the threads and closes the data folder. May be called
   * again.
   *
   * @return false if a write has not returned yet, so that the folder is still in use
   */
  boolean stop();

  /**
   * Proposes a command. Only the leader accepts it; other replicas return {@link
   * LogError#NOT_LEADER} and the leader, if known.
   *
   * @param command the command, which must not be modified afterwards
   * @return completes once the command is durable on a quorum and applied here, or with a failure;
   *     {@link LogError#notRun()} tells whether it is certain to have no effect
   */
  CompletionStage<Either<LogFailure, AppliedCommand>> propose(byte[] command);

  /**
   * Confirms with a quorum the log index that a linearizable read must include. Works on every
   * voter and learner that can reach the leader.
   *
   * @return completes with the read index once the local state machine has applied it, so that
   *     reading the local state then is linearizable
   */
  CompletionStage<Either<LogFailure, Long>> readIndex();

  /**
   * Changes the membership by one replica. Only the leader accepts the change.
   *
   * @param change the change
   * @return completes with the membership once the change is committed
   */
  CompletionStage<Either<LogFailure, Membership>> change(MembershipChange change);

  /**
   * Returns the latest status of this replica.
   *
   * @return the status
   */
  LogStatus status();

  /**
   * Reports that the leader answers no calls although it sends messages to replicas. This replica
   * ignores its messages for a few election timeouts; if a majority does, another one is elected.
   *
   * @param leader the member that doesn't answer; ignored if this replica doesn't follow it
   */
  void avoidLeader(MemberId leader);

  /**
   * Returns how often each kind of event of an election has occurred here since the start.
   *
   * @return the counts of all kinds
   */
  Map<ElectionEvent.Kind, Long> electionCounts();
}
