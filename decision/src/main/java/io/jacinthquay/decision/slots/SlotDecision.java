package io.jacinthquay.decision.slots;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.Optional;

/** One decision of the owner of a scope, or one fact that it learned, at a time of its clock. */
public sealed interface SlotDecision {
  /** Returns the owner's clock, in nanoseconds. */
  long atNanos();

  /** Returns the scope. */
  SlotScope scope();

  /** Why a slot was granted. */
  enum Reason {
    /** It was first in the order of tier, deadline and fair share. */
    ORDER,
    /** Its class had waited for its floor interval. */
    FLOOR
  }

  /** A request began to wait. */
  record Queued(
      long atNanos,
      SlotScope scope,
      VmId router,
      RequestId request,
      ClassName className,
      CustomerId customer,
      Tier tier,
      boolean mustFinish)
      implements SlotDecision {}

  /**
   * A request got a slot.
   *
   * @param passedOver the request of a higher tier that would have got it without the floor
   */
  record Granted(
      long atNanos,
      SlotScope scope,
      VmId router,
      RequestId request,
      SlotId slot,
      UpstreamId upstream,
      ClassName className,
      Tier tier,
      boolean preemptible,
      Reason reason,
      Optional<RequestId> passedOver)
      implements SlotDecision {}

  /** A router got an unused slot ahead of demand. */
  record GrantedAhead(long atNanos, SlotScope scope, VmId router, SlotId slot, UpstreamId upstream)
      implements SlotDecision {}

  /** A request was found running on a slot that had been granted ahead, or by another owner. */
  record Used(
      long atNanos,
      SlotScope scope,
      VmId router,
      RequestId request,
      SlotId slot,
      UpstreamId upstream,
      ClassName className,
      Tier tier,
      boolean preemptible)
      implements SlotDecision {}

  /** A request was shed. */
  record Shed(long atNanos, SlotScope scope, RequestId request, Tier tier, ResultCode code)
      implements SlotDecision {}

  /** The work on a slot was ordered to stop for the sake of a waiting request. */
  record PreemptOrdered(
      long atNanos,
      SlotScope scope,
      SlotId slot,
      RequestId victim,
      Tier victimTier,
      RequestId beneficiary,
      Tier beneficiaryTier)
      implements SlotDecision {}

  /** A slot came back. */
  record Released(long atNanos, SlotScope scope, SlotId slot, Completion completion)
      implements SlotDecision {}

  /** A waiting request went away without a decision of the owner. */
  record Withdrawn(long atNanos, SlotScope scope, RequestId request) implements SlotDecision {}
}
