package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ClaimResult;
import io.jacinthquay.wire.gen.ClaimState;
import java.util.Optional;

/**
 * One claim.
 *
 * @param request the request that made it
 * @param state IN_PROGRESS, DONE or OUTCOME_UNKNOWN
 * @param result the result, if it is done and small enough to keep
 * @param sinceMillis when it came into this state, on the {@link StateClock}
 */
record Claim(
    ClaimRequest request, ClaimState state, Optional<ClaimResult> result, long sinceMillis) {

  /** Returns whether a request comes from the attempt that made this claim. */
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
