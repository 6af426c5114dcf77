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
 * <p>In each term the leader first reads the state as the term found it, and counts on from the
 * clock in it with its own monotonic clock. Time between leaders is not counted, so that a lease
 * may last longer than granted, never shorter.
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

  /** Where counting began: the state's clock and, taken after it, the monotonic clock. */
  private record Base(long term, long stateMillis, long nanos) {}

  /** Returns a stamp, or a refusal if this keeper does not lead. */
  synchronized Either<Refusal, Stamp> stamp() {
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

  private static Refusal notLeader(LogStatus status) {
    Optional<String> leader = status.leader().map(ReplicaId::member).map(m -> m.value());
    String detail = leader.map(l -> "the leader is " + l).orElse("no leader is known");
    return new Refusal(Failure.of(ResultCode.NOT_LEADER, detail), leader);
  }
}
