package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Records idempotency keys durably, so that a request runs once over all routers. */
public interface ClaimStore {
  /** Records that the request is about to run, or returns what became of an earlier one. */
  CompletionStage<Either<Failure, ClaimStanding>> begin(Claim claim);

  /** Records the result of a request that ran. */
  CompletionStage<Either<Failure, Void>> complete(Claim claim, RecordedAnswer answer);

  /** Gives a claim back because the request surely did not run. */
  CompletionStage<Either<Failure, Void>> release(Claim claim);
}
