package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ClaimResult;
import io.jacinthquay.wire.gen.ClaimState;
import java.util.Optional;

/**
 * An idempotency claim.
 *
 * @param request the request that began the claim
 * @param state IN_PROGRESS, DONE or OUTCOME_UNKNOWN
 * @param result the result, if the state is DONE and the result is small enough to store
 * @param sinceMillis when the claim entered this state, in milliseconds on the {@link StateClock}
 */
record Claim(
    ClaimRequest request, ClaimState state, Optional<ClaimResult> result, long sinceMillis) {

  /** Returns whether a request belongs to the attempt that began this claim. */
  boolean isMadeBy(ClaimRequest other) {
    return request.getClaimant().equals(other.getClaimant())
        && request.getRequestId().equals(other.getRequestId())
        && request.getBodyDigest().equals(other.getBodyDigest());
  }

  Claim withState(ClaimState next, Optional<ClaimResult> nextResult, long nowMillis) {
    return new Claim(request, next, nextResult, nowMillis);
  }

  Claim withoutResult() {
    return new Claim(request, state, Optional.empty(), sinceMillis);
  }

  long resultBytes() {
    return result.map(r -> (long) r.getBody().length).orElse(0L);
  }
}
