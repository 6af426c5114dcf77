package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits on a worker thread for the log to complete an operation. */
final class Completions {
  private Completions() {}

  /**
   * Returns the result of an operation, or a failure with {@link ResultCode#NO_QUORUM} if it is not
   * known within the timeout.
   */
  static <T> Either<KeeperFailure, T> await(
      CompletionStage<Either<LogFailure, T>> stage, Duration timeout) {
    try {
      return stage
          .toCompletableFuture()
          .get(timeout.toMillis(), TimeUnit.MILLISECONDS)
          .mapLeft(KeeperFailure::of);
    } catch (TimeoutException e) {
      return unknownOutcome("the log did not answer within " + timeout.toMillis() + " ms");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return unknownOutcome("interrupted");
    } catch (ExecutionException e) {
      return unknownOutcome(String.valueOf(e.getCause()));
    }
  }

  private static <T> Either<KeeperFailure, T> unknownOutcome(String detail) {
    return Either.left(KeeperFailure.of(Failure.of(ResultCode.NO_QUORUM, detail)));
  }
}
