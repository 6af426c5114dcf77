package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Stores idempotency claims durably, so that a request runs at most once over all routers. */
public interface ClaimStore {
  /** Records that the request is about to run, or returns the status of an earlier one. */
  CompletionStage<Either<Failure, ClaimStatus>> begin(Claim claim);

  /** Records the response of a request that ran. */
  CompletionStage<Either<Failure, Void>> complete(Claim claim, RecordedResponse answer);

  /** Releases the claim of a request that is known not to have run. */
  CompletionStage<Either<Failure, Void>> release(Claim claim);
}
