package io.jacinthquay.keeper.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.consensus.Applied;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.runtime.time.ClockReading;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class QuorumContactTest {
  private static final long MILLI = 1_000_000L;

  /** A log whose reads are answered when the test says so. */
  private static final class ReadableLog implements ReplicatedLog {
    private CompletableFuture<Either<LogFailure, Long>> read = new CompletableFuture<>();

    void answer() {
      CompletableFuture<Either<LogFailure, Long>> answered = read;
      read = new CompletableFuture<>();
      answered.complete(Either.right(1L));
    }

    @Override
    public CompletionStage<Either<LogFailure, Long>> readIndex() {
      return read;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {}

    @Override
    public CompletionStage<Either<LogFailure, Applied>> propose(byte[] command) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Either<LogFailure, Membership>> change(MembershipChange change) {
      throw new UnsupportedOperationException();
    }

    @Override
    public LogStatus status() {
      throw new UnsupportedOperationException();
    }
  }

  private final ReadableLog log = new ReadableLog();
  private long millis = 5;
  private long wallAhead = 1_000_000;
  private final QuorumContact contact =
      new QuorumContact(
          log, Duration.ofSeconds(1), () -> new ClockReading(millis * MILLI, millis + wallAhead));

  /** Keys that were withdrawn while this VM was suspended must not be vouched for. */
  @ParameterizedTest
  @ValueSource(longs = {6_000, -6_000})
  void vouchForNothingFromBeforeASuspension(long step) {
    contact.probe();
    log.answer();
    assertEquals(OptionalLong.of(5 * MILLI), contact.confirmedNanos());
    wallAhead += step;
    millis += 10;
    assertEquals(OptionalLong.empty(), contact.confirmedNanos());
    contact.probe();
    log.answer();
    assertEquals(OptionalLong.of(15 * MILLI), contact.confirmedNanos());
  }

  @Test
  void takeNoAnswerFromBeforeASuspension() {
    contact.probe();
    wallAhead += 6_000;
    log.answer();
    assertEquals(OptionalLong.empty(), contact.confirmedNanos());
  }
}
