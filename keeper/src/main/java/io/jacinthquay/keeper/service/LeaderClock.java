package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.keeper.state.KeeperState;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.Stamp;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Stamps commands with elapsed time that never runs ahead of real time.
 *
 * <p>In each term the leader first reads the state with all entries of earlier terms applied, and
 * continues from the clock in that state with its own monotonic clock. Time without a leader is not
 * counted, so a lease may last longer than granted but never shorter.
 */
final class LeaderClock {
  private final ReplicatedLog log;
  private final KeeperState state;
  private final LongSupplier nanoTime;
  private final LongSupplier wallMillis;
  private final Duration timeout;
  private Base base = new Base(-1, 0, 0);

  LeaderClock(
      ReplicatedLog log,
      KeeperState state,
      LongSupplier nanoTime,
      LongSupplier wallMillis,
      Duration timeout) {
    this.log = log;
    this.state = state;
    this.nanoTime = nanoTime;
    this.wallMillis = wallMillis;
    this.timeout = timeout;
  }

  /** The state's clock at the start of a term, and the monotonic clock, which is read after it. */
  private record Base(long term, long stateMillis, long nanos) {}

  /** Returns a stamp, or a failure if this keeper is not the leader or a quorum does not answer. */
  synchronized Either<KeeperFailure, Stamp> stamp() {
    LogStatus status = log.status();
    if (!status.isLeader()) {
      return Either.left(notLeader(status));
    }
    if (status.term() == base.term()) {
      return Either.right(countFrom(base));
    }
    return Completions.await(log.readIndex(), timeout)
        .map(
            index -> {
              long stateMillis = state.tables().clock().millis();
              base = new Base(status.term(), stateMillis, nanoTime.getAsLong());
              return countFrom(base);
            });
  }

  private Stamp countFrom(Base from) {
    long elapsed = TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - from.nanos());
    return new Stamp(from.term(), from.stateMillis() + elapsed, wallMillis.getAsLong());
  }

  private static KeeperFailure notLeader(LogStatus status) {
    Optional<String> leader = status.leader().map(ReplicaId::member).map(m -> m.value());
    String detail = leader.map(l -> "the leader is " + l).orElse("no leader is known");
    return new KeeperFailure(Failure.of(ResultCode.NOT_LEADER, detail), leader);
  }
}
