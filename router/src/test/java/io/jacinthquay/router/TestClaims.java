package io.jacinthquay.router;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Claim;
import io.jacinthquay.router.port.ClaimStatus;
import io.jacinthquay.router.port.ClaimStatus.State;
import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.RecordedResponse;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A claim store in memory. */
final class TestClaims implements ClaimStore {
  private final Map<String, Claim> claims = new HashMap<>();
  private final Map<String, RecordedResponse> responses = new HashMap<>();
  private boolean unavailable;

  synchronized void setUnavailable(boolean on) {
    unavailable = on;
  }

  synchronized boolean isDone(String key) {
    return responses.containsKey(key);
  }

  synchronized boolean isClaimed(String key) {
    return claims.containsKey(key);
  }

  @Override
  public synchronized CompletionStage<Either<Failure, ClaimStatus>> begin(Claim claim) {
    if (unavailable) {
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.CLAIM_UNAVAILABLE)));
    }
    Claim earlier = claims.putIfAbsent(claim.key(), claim);
    if (earlier != null && !earlier.bodyDigest().equals(claim.bodyDigest())) {
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.CLAIM_BODY_DIFFERS)));
    }
    if (responses.containsKey(claim.key())) {
      return standing(State.DONE, Optional.of(responses.get(claim.key())));
    }
    return standing(earlier == null ? State.FRESH : State.IN_PROGRESS, Optional.empty());
  }

  private static CompletionStage<Either<Failure, ClaimStatus>> standing(
      State state, Optional<RecordedResponse> response) {
    return CompletableFuture.completedFuture(Either.right(new ClaimStatus(state, response)));
  }

  @Override
  public synchronized CompletionStage<Either<Failure, Void>> complete(
      Claim claim, RecordedResponse response) {
    responses.put(claim.key(), response);
    return CompletableFuture.completedFuture(Either.right(null));
  }

  @Override
  public synchronized CompletionStage<Either<Failure, Void>> release(Claim claim) {
    claims.remove(claim.key());
    return CompletableFuture.completedFuture(Either.right(null));
  }
}
