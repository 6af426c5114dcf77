package io.jacinthquay.control.service;

import io.jacinthquay.consensus.AppliedCommand;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.consensus.Role;
import io.jacinthquay.consensus.raft.ElectionEvent;
import io.jacinthquay.control.state.ControlState;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A replicated log that commits and applies each command at once. */
public final class ImmediateLog implements ReplicatedLog {
  private final ControlState state;
  private long index;

  /** Returns a log that applies commands to a state. */
  public ImmediateLog(ControlState state) {
    this.state = state;
  }

  @Override
  public CompletionStage<Either<LogFailure, AppliedCommand>> propose(byte[] command) {
    index++;
    byte[] result = state.apply(index, command);
    return CompletableFuture.completedFuture(Either.right(new AppliedCommand(index, result)));
  }

  @Override
  public void start() {}

  @Override
  public boolean stop() {
    return true;
  }

  @Override
  public CompletionStage<Either<LogFailure, Long>> readIndex() {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletionStage<Either<LogFailure, Membership>> change(MembershipChange change) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void avoidLeader(MemberId leader) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Map<ElectionEvent.Kind, Long> electionCounts() {
    throw new UnsupportedOperationException();
  }

  @Override
  public LogStatus status() {
    ReplicaId self = new ReplicaId(new MemberId("127.0.0.1:9"), 1);
    return new LogStatus(
        self,
        Role.LEADER,
        1,
        Optional.of(self),
        index,
        index,
        1,
        index,
        Membership.EMPTY,
        Set.of(),
        List.of());
  }
}
