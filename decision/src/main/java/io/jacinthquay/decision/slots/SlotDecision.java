package io.jacinthquay.decision.slots;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.Optional;

/** A decision of the owner of a scope, or an event that it observed. */
public sealed interface SlotDecision {
  /** Returns the time on the owner's monotonic clock, in nanoseconds. */
  long atNanos();

  /** Returns the scope. */
  SlotScope scope();

  /** Why a slot was granted. */
  enum Reason {
    /** The request was first in the order of tier, deadline and fair share. */
    ORDER,
    /** Its class had waited for most of its floor interval without a slot. */
    FLOOR
  }

  /** A request was added to the queue. */
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
   * A slot was granted to a request.
   *
   * @param passedOver the request of a higher tier that would have got the slot without the floor
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

  /** An unused slot was granted to a router ahead of demand. */
  record GrantedAhead(long atNanos, SlotScope scope, VmId router, SlotId slot, UpstreamId upstream)
      implements SlotDecision {}

  /** A router used a slot that was granted ahead of demand or by another owner. */
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

  /** A waiting request was shed. */
  record Shed(long atNanos, SlotScope scope, RequestId request, Tier tier, ResultCode code)
      implements SlotDecision {}

  /** The preemption of the work on a slot was ordered in favour of a waiting request. */
  record PreemptOrdered(
      long atNanos,
      SlotScope scope,
      SlotId slot,
      RequestId victim,
      Tier victimTier,
      RequestId beneficiary,
      Tier beneficiaryTier)
      implements SlotDecision {}

  /** A slot was released. */
  record Released(long atNanos, SlotScope scope, SlotId slot, Completion completion)
      implements SlotDecision {}

  /** A waiting request was removed without a decision of the owner. */
  record Withdrawn(long atNanos, SlotScope scope, RequestId request) implements SlotDecision {}
}
