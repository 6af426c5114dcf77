package io.jacinthquay.consensus;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;

/** The promised answer to a proposal, membership change or read. The first outcome counts. */
final class Answer<T> {
  private final CompletableFuture<Either<LogFailure, T>> future = new CompletableFuture<>();
  private final BiFunction<Long, byte[], T> toValue;
  private final long deadline;

  /** Makes an answer that is due by a time and built from log index and result. */
  Answer(long deadline, BiFunction<Long, byte[], T> toValue) {
    this.deadline = deadline;
    this.toValue = toValue;
  }

  CompletionStage<Either<LogFailure, T>> stage() {
    return future;
  }

  boolean isDone() {
    return future.isDone();
  }

  boolean isDue(long now) {
    return now - deadline >= 0;
  }

  void succeed(long index, byte[] result) {
    future.complete(Either.right(toValue.apply(index, result)));
  }

  void fail(LogFailure failure) {
    future.complete(Either.left(failure));
  }
}
