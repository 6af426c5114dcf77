package io.jacinthquay.decision.slots;

import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Optional;

/**
 * The messages between a router and the owner of a scope.
 *
 * <p>Every message may be lost, duplicated, delayed or reordered. {@link Sync} detects that the two
 * sides differ, and {@link Resync} and {@link State} repair it.
 */
public sealed interface SlotMessage {
  /** Returns the scope that the message is about. */
  SlotScope scope();

  /** A message from a router to the owner. */
  sealed interface ToOwner extends SlotMessage {
    /** Returns the sender and the time of sending. */
    ClientStamp stamp();
  }

  /** A message from the owner to a router. */
  sealed interface ToClient extends SlotMessage {
    /** Returns the sending owner and the lease of the session. */
    OwnerStamp stamp();
  }

  /**
   * Renews the session and lets the owner compare its state with that of the router.
   *
   * @param held digest of the ids of all slots held, used or not
   * @param waiting digest of the ids of all waiting requests
   * @param idleTarget target number of unused slots of the router
   */
  record Sync(
      SlotScope scope, ClientStamp stamp, SlotDigest held, SlotDigest waiting, int idleTarget)
      implements ToOwner {}

  /**
   * Opens or repairs a session with the full state of the router.
   *
   * @param used the slots in use
   * @param idle the unused slots
   * @param waiting the waiting requests
   * @param idleTarget target number of unused slots of the router
   * @param hints the concurrency limits sent by former owners
   * @param formerLeaseNanos how long the lease of a former owner may still last; negative if the
   *     router never had a former owner
   */
  record State(
      SlotScope scope,
      ClientStamp stamp,
      List<UsedSlot> used,
      List<SlotId> idle,
      List<SlotRequest> waiting,
      int idleTarget,
      List<ConcurrencyLimitHint> hints,
      long formerLeaseNanos)
      implements ToOwner {
    /** Copies the lists. */
    public State {
      used = List.copyOf(used);
      idle = List.copyOf(idle);
      waiting = List.copyOf(waiting);
      hints = List.copyOf(hints);
    }
  }

  /**
   * A slot in use.
   *
   * @param slot the slot
   * @param upstream the upstream that serves the work
   * @param request the work
   */
  record UsedSlot(SlotId slot, UpstreamId upstream, SlotRequest request) {}

  /**
   * Requests slots.
   *
   * @param requests the requests, at least one
   */
  record Ask(SlotScope scope, ClientStamp stamp, List<SlotRequest> requests) implements ToOwner {
    /** Copies the list. */
    public Ask {
      requests = List.copyOf(requests);
    }
  }

  /**
   * Reports that an unused slot is now in use.
   *
   * @param slot the slot
   * @param request the work
   */
  record Use(SlotScope scope, ClientStamp stamp, SlotId slot, SlotRequest request)
      implements ToOwner {}

  /**
   * Reports the tokens that the work on a slot has used so far.
   *
   * @param slot the slot
   * @param tokens input and output tokens so far
   * @param expected input and output tokens now expected in total
   */
  record Progress(SlotScope scope, ClientStamp stamp, SlotId slot, long tokens, long expected)
      implements ToOwner {}

  /**
   * Releases a slot.
   *
   * @param slot the slot
   * @param completion how the work ended
   */
  record Release(SlotScope scope, ClientStamp stamp, SlotId slot, Completion completion)
      implements ToOwner {}

  /**
   * Withdraws a waiting request.
   *
   * @param request the request
   */
  record Cancel(SlotScope scope, ClientStamp stamp, RequestId request) implements ToOwner {}

  /** Ends the session because the router changes to another owner or stops. */
  record Leave(SlotScope scope, ClientStamp stamp) implements ToOwner {}

  /**
   * Grants a slot.
   *
   * @param slot the slot
   * @param upstream the upstream of the slot
   * @param request the request that may use it; empty for a slot granted ahead of demand
   * @param excessTokens excess of the customer's counter over its class, in tokens
   * @param limit concurrency limit of the upstream, in requests
   * @param warming whether that limit is still in its initial fast growth
   */
  record Grant(
      SlotScope scope,
      OwnerStamp stamp,
      SlotId slot,
      UpstreamId upstream,
      Optional<RequestId> request,
      double excessTokens,
      int limit,
      boolean warming)
      implements ToClient {}

  /**
   * Reports that a request was shed.
   *
   * @param request the request
   * @param code the reason
   * @param retryAfterNanos delay before the caller may retry, 0 or more
   */
  record Deny(
      SlotScope scope, OwnerStamp stamp, RequestId request, ResultCode code, long retryAfterNanos)
      implements ToClient {}

  /**
   * Orders the preemption of the work on a slot.
   *
   * @param slot the slot
   * @param request the work
   */
  record Preempt(SlotScope scope, OwnerStamp stamp, SlotId slot, RequestId request)
      implements ToClient {}

  /**
   * Requests the release of an unused slot.
   *
   * @param slot the slot
   */
  record Recall(SlotScope scope, OwnerStamp stamp, SlotId slot) implements ToClient {}

  /** Renews the session. */
  record Ack(SlotScope scope, OwnerStamp stamp) implements ToClient {}

  /** Requests the full state of the router. */
  record Resync(SlotScope scope, OwnerStamp stamp) implements ToClient {}
}
