package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Claim;
import io.jacinthquay.router.port.ClaimStatus;
import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.RecordedResponse;
import io.jacinthquay.wire.client.KeeperCall;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.ClaimAnswer;
import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ClaimResult;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** Stores idempotency claims with the keepers; calls run on a separate executor. */
public final class ThriftClaimStore implements ClaimStore {
  private final KeeperClient keepers;
  private final String claimant;
  private final Executor executor;

  /**
   * Returns a store.
   *
   * @param keepers client of the keepers
   * @param claimant name and incarnation of the router
   * @param executor runs the calls, which block; may reject them
   */
  public ThriftClaimStore(KeeperClient keepers, String claimant, Executor executor) {
    this.keepers = keepers;
    this.claimant = claimant;
    this.executor = executor;
  }

  @Override
  public CompletionStage<Either<Failure, ClaimStatus>> begin(Claim claim) {
    return call(keeper -> status(keeper.beginClaim(request(claim))));
  }

  @Override
  public CompletionStage<Either<Failure, Void>> complete(Claim claim, RecordedResponse response) {
    ClaimResult result = new ClaimResult();
    result.setStatus(response.status());
    result.setContentType(response.contentType());
    result.setBody(response.body());
    return call(
        keeper -> {
          keeper.completeClaim(request(claim), result);
          return null;
        });
  }

  @Override
  public CompletionStage<Either<Failure, Void>> release(Claim claim) {
    return call(
        keeper -> {
          keeper.releaseClaim(request(claim));
          return null;
        });
  }

  private <T> CompletionStage<Either<Failure, T>> call(KeeperCall<T> call) {
    try {
      return CompletableFuture.supplyAsync(() -> toClaimFailure(keepers.call(call)), executor);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.CLAIM_UNAVAILABLE)));
    }
  }

  private static <T> Either<Failure, T> toClaimFailure(Either<Failure, T> response) {
    return response.mapLeft(
        failure ->
            failure.code() == ResultCode.CLAIM_BODY_DIFFERS
                ? failure
                : Failure.of(ResultCode.CLAIM_UNAVAILABLE));
  }

  private ClaimRequest request(Claim claim) {
    return new ClaimRequest(
        claim.customer().value(),
        claim.route().value(),
        claim.key(),
        claim.bodyDigest(),
        claim.request().value(),
        claimant);
  }

  private static ClaimStatus status(ClaimAnswer response) {
    return switch (response.getState()) {
      case FRESH -> new ClaimStatus(ClaimStatus.State.FRESH, Optional.empty());
      case IN_PROGRESS -> new ClaimStatus(ClaimStatus.State.IN_PROGRESS, Optional.empty());
      case DONE -> done(response.getResult());
      default -> new ClaimStatus(ClaimStatus.State.OUTCOME_UNKNOWN, Optional.empty());
    };
  }

  private static ClaimStatus done(ClaimResult result) {
    if (result == null) {
      return new ClaimStatus(ClaimStatus.State.OUTCOME_UNKNOWN, Optional.empty());
    }
    RecordedResponse response =
        new RecordedResponse(result.getStatus(), result.getContentType(), result.getBody());
    return new ClaimStatus(ClaimStatus.State.DONE, Optional.of(response));
  }
}
