package io.jacinthquay.router;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Claim;
import io.jacinthquay.router.port.ClaimStanding;
import io.jacinthquay.router.port.ClaimStanding.State;
import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.RecordedAnswer;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Claims in memory. */
final class TestClaims implements ClaimStore {
  private final Map<String, Claim> begun = new HashMap<>();
  private final Map<String, RecordedAnswer> done = new HashMap<>();
  private boolean cut;

  synchronized void cut(boolean on) {
    cut = on;
  }

  synchronized boolean isDone(String key) {
    return done.containsKey(key);
  }

  synchronized boolean isBegun(String key) {
    return begun.containsKey(key);
  }

  @Override
  public synchronized CompletionStage<Either<Failure, ClaimStanding>> begin(Claim claim) {
    if (cut) {
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.CLAIM_UNAVAILABLE)));
    }
    Claim earlier = begun.putIfAbsent(claim.key(), claim);
    if (earlier != null && !earlier.bodyDigest().equals(claim.bodyDigest())) {
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.CLAIM_BODY_DIFFERS)));
    }
    if (done.containsKey(claim.key())) {
      return standing(State.DONE, Optional.of(done.get(claim.key())));
    }
    return standing(earlier == null ? State.FRESH : State.IN_PROGRESS, Optional.empty());
  }

  private static CompletionStage<Either<Failure, ClaimStanding>> standing(
      State state, Optional<RecordedAnswer> answer) {
    return CompletableFuture.completedFuture(Either.right(new ClaimStanding(state, answer)));
  }

  @Override
  public synchronized CompletionStage<Either<Failure, Void>> complete(
      Claim claim, RecordedAnswer answer) {
    done.put(claim.key(), answer);
    return CompletableFuture.completedFuture(Either.right(null));
  }

  @Override
  public synchronized CompletionStage<Either<Failure, Void>> release(Claim claim) {
    begun.remove(claim.key());
    return CompletableFuture.completedFuture(Either.right(null));
  }
}
