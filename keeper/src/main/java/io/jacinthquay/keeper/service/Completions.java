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

/** Waits for the log on a worker thread. */
final class Completions {
  private Completions() {}

  static <T> Either<Refusal, T> await(
      CompletionStage<Either<LogFailure, T>> stage, Duration timeout) {
    try {
      return stage
          .toCompletableFuture()
          .get(timeout.toMillis(), TimeUnit.MILLISECONDS)
          .mapLeft(Refusal::of);
    } catch (TimeoutException e) {
      return unknown("the log did not answer within " + timeout.toMillis() + " ms");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return unknown("interrupted");
    } catch (ExecutionException e) {
      return unknown(String.valueOf(e.getCause()));
    }
  }

  private static <T> Either<Refusal, T> unknown(String detail) {
    return Either.left(Refusal.of(Failure.of(ResultCode.NO_QUORUM, detail)));
  }
}
