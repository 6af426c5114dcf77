package io.jacinthquay.consensus;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;

/**
 * The result of a proposal, membership change or read that is still being processed. It is
 * completed once; later completions have no effect.
 */
final class PendingResult<T> {
  private final CompletableFuture<Either<LogFailure, T>> future = new CompletableFuture<>();
  private final BiFunction<Long, byte[], T> toValue;
  private final long deadline;

  /**
   * Creates a pending result.
   *
   * @param deadline the monotonic time in nanoseconds at which it expires
   * @param toValue builds the value from the log index and the result of the state machine
   */
  PendingResult(long deadline, BiFunction<Long, byte[], T> toValue) {
    this.deadline = deadline;
    this.toValue = toValue;
  }

  CompletionStage<Either<LogFailure, T>> stage() {
    return future;
  }

  boolean isDone() {
    return future.isDone();
  }

  boolean isExpired(long now) {
    return now - deadline >= 0;
  }

  void succeed(long index, byte[] result) {
    future.complete(Either.right(toValue.apply(index, result)));
  }

  void fail(LogFailure failure) {
    future.complete(Either.left(failure));
  }
}
