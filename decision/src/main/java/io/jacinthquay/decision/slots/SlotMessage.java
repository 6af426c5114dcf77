package io.jacinthquay.decision.slots;

import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Optional;

/**
 * The messages between a router and the owner of a scope.
 *
 * <p>Every message may be lost, repeated, late or overtaken. {@link Sync} and {@link Resync} repair
 * what that breaks.
 */
public sealed interface SlotMessage {
  /** Returns the scope that the message is about. */
  SlotScope scope();

  /** A message from a router to the owner. */
  sealed interface ToOwner extends SlotMessage {
    /** Returns who sent it and when. */
    ClientStamp stamp();
  }

  /** A message from the owner to a router. */
  sealed interface ToClient extends SlotMessage {
    /** Returns which owner sent it and how long the session lasts. */
    OwnerStamp stamp();
  }

  /**
   * Renews the session and lets the owner compare its view.
   *
   * @param held digest of the ids of all slots held, used or not
   * @param waiting digest of the ids of all requests asked for and not answered
   * @param wanted how many unused slots the router would like to hold
   */
  record Sync(SlotScope scope, ClientStamp stamp, SlotDigest held, SlotDigest waiting, int wanted)
      implements ToOwner {}

  /**
   * Opens a session, or repairs one, by the whole state of the router.
   *
   * @param used the slots in use
   * @param idle the unused slots
   * @param waiting the requests that wait
   * @param wanted how many unused slots the router would like to hold
   * @param hints the limits that a former owner told
   * @param vouchFreeNanos how long a former owner may still count on this router; negative if it
   *     never had one
   */
  record State(
      SlotScope scope,
      ClientStamp stamp,
      List<UsedSlot> used,
      List<SlotId> idle,
      List<SlotRequest> waiting,
      int wanted,
      List<BearingHint> hints,
      long vouchFreeNanos)
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
   * Asks for slots.
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
   * Tells that an unused slot is now in use.
   *
   * @param slot the slot
   * @param request the work
   */
  record Use(SlotScope scope, ClientStamp stamp, SlotId slot, SlotRequest request)
      implements ToOwner {}

  /**
   * Corrects the tokens that a slot in use has spent so far.
   *
   * @param slot the slot
   * @param tokens input and output tokens so far
   * @param expected input and output tokens now expected in all
   */
  record Progress(SlotScope scope, ClientStamp stamp, SlotId slot, long tokens, long expected)
      implements ToOwner {}

  /**
   * Gives a slot back.
   *
   * @param slot the slot
   * @param completion how the work ended
   */
  record Release(SlotScope scope, ClientStamp stamp, SlotId slot, Completion completion)
      implements ToOwner {}

  /**
   * Withdraws a request that waits.
   *
   * @param request the request
   */
  record Cancel(SlotScope scope, ClientStamp stamp, RequestId request) implements ToOwner {}

  /** Ends the session: the router now turns to another owner or stops. */
  record Leave(SlotScope scope, ClientStamp stamp) implements ToOwner {}

  /**
   * Grants a slot.
   *
   * @param slot the slot
   * @param upstream the upstream that it is for
   * @param request the request that it is for; empty for a slot ahead of demand
   * @param lag how far the customer's counter is ahead of its class, in tokens
   * @param limit requests at a time that the upstream is held to bear
   * @param warming whether that limit is still in its fast start
   */
  record Grant(
      SlotScope scope,
      OwnerStamp stamp,
      SlotId slot,
      UpstreamId upstream,
      Optional<RequestId> request,
      double lag,
      int limit,
      boolean warming)
      implements ToClient {}

  /**
   * Tells that a request is shed.
   *
   * @param request the request
   * @param code why
   * @param retryAfterNanos when to try again, 0 or more
   */
  record Deny(
      SlotScope scope, OwnerStamp stamp, RequestId request, ResultCode code, long retryAfterNanos)
      implements ToClient {}

  /**
   * Orders the work on a slot to stop.
   *
   * @param slot the slot
   * @param request the work
   */
  record Preempt(SlotScope scope, OwnerStamp stamp, SlotId slot, RequestId request)
      implements ToClient {}

  /**
   * Asks an unused slot back.
   *
   * @param slot the slot
   */
  record Recall(SlotScope scope, OwnerStamp stamp, SlotId slot) implements ToClient {}

  /** Renews the session. */
  record Ack(SlotScope scope, OwnerStamp stamp) implements ToClient {}

  /** Asks the router for its whole state. */
  record Resync(SlotScope scope, OwnerStamp stamp) implements ToClient {}
}
