package io.jacinthquay.keeper.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.consensus.AppliedCommand;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.consensus.raft.ElectionEvent;
import io.jacinthquay.runtime.time.ClockReading;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class QuorumContactTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A log whose pending read completes when the test calls {@link #answer()}. */
  private static final class ReadableLog implements ReplicatedLog {
    private CompletableFuture<Either<LogFailure, Long>> read = new CompletableFuture<>();

    void answer() {
      CompletableFuture<Either<LogFailure, Long>> pending = read;
      read = new CompletableFuture<>();
      pending.complete(Either.right(1L));
    }

    @Override
    public CompletionStage<Either<LogFailure, Long>> readIndex() {
      return read;
    }

    @Override
    public void start() {}

    @Override
    public boolean stop() {
      return true;
    }

    @Override
    public CompletionStage<Either<LogFailure, AppliedCommand>> propose(byte[] command) {
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
      throw new UnsupportedOperationException();
    }
  }

  private final ReadableLog log = new ReadableLog();
  private long millis = 5;
  private long wallAheadMillis = 1_000_000;
  private final QuorumContact contact =
      new QuorumContact(
          log,
          Duration.ofSeconds(1),
          () -> new ClockReading(millis * NANOS_PER_MILLI, millis + wallAheadMillis));

  /**
   * Keys that were withdrawn while this VM was suspended would otherwise count as current. The wall
   * clock is stepped in either direction.
   */
  @ParameterizedTest
  @ValueSource(longs = {6_000, -6_000})
  void contactFromBeforeASuspensionIsIgnored(long wallStepMillis) {
    contact.probe();
    log.answer();
    assertEquals(OptionalLong.of(5 * NANOS_PER_MILLI), contact.confirmedNanos());
    wallAheadMillis += wallStepMillis;
    millis += 10;
    assertEquals(OptionalLong.empty(), contact.confirmedNanos());
    contact.probe();
    log.answer();
    assertEquals(OptionalLong.of(15 * NANOS_PER_MILLI), contact.confirmedNanos());
  }

  @Test
  void answerToAReadFromBeforeASuspensionIsIgnored() {
    contact.probe();
    wallAheadMillis += 6_000;
    log.answer();
    assertEquals(OptionalLong.empty(), contact.confirmedNanos());
  }
}
