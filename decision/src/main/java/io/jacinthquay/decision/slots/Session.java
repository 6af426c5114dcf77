package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.fairness.WaitingRequest;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.VmId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The state of a session between an owner and one router. */
final class Session {
  private static final long NEVER = Long.MAX_VALUE;

  final VmId router;
  final long incarnation;
  final Map<RequestId, WaitingRequest<PendingRequest>> waiting = new HashMap<>();
  final Map<SlotId, Slot> slots = new LinkedHashMap<>();
  final Map<RequestId, Slot> running = new HashMap<>();
  private final ReplayWindow replayWindow = new ReplayWindow();
  private long stateSequence;
  private final SlotOptions options;
  private final long openedAtNanos;
  private long acknowledgedNanos = Long.MIN_VALUE;

  /** Latest sending time of the router's messages, on the router's clock. */
  long leaseStartNanos = Long.MIN_VALUE / 2;

  /** Number of slots that a former owner granted, by upstream. */
  final Map<UpstreamSlots, Integer> inherited = new HashMap<>();

  /** When the lease of a former owner has expired; the minimum value without one. */
  long formerLeaseEndNanos = Long.MIN_VALUE;

  /** Whether the router has reported if it had a former owner. */
  boolean formerOwnerKnown;

  boolean hadFormerOwner;

  /** Whether all work granted by a former owner is known. */
  boolean reconciled;

  SlotDigest heldDigest = SlotDigest.EMPTY;
  SlotDigest waitingDigest = SlotDigest.EMPTY;
  int idle;

  /** Number of unused slots that the router asks for. */
  int idleTarget;

  int mismatches;

  /** When the earliest unacknowledged grant was sent; {@code Long.MAX_VALUE} without one. */
  long unacknowledgedSinceNanos = NEVER;

  /** When the latest grant was sent. */
  private long latestGrantNanos = Long.MIN_VALUE;

  /** Whether the router seems unreachable and therefore gets no grants. */
  boolean suspect;

  Session(VmId router, long incarnation, long openedAtNanos, SlotOptions options) {
    this.router = router;
    this.incarnation = incarnation;
    this.openedAtNanos = openedAtNanos;
    this.options = options;
  }

  /** Records the sequence number of a message and returns whether to process the message. */
  boolean accept(ClientStamp stamp, boolean state) {
    if (stamp.sequence() <= stateSequence || !replayWindow.accept(stamp.sequence())) {
      return false;
    }
    if (state) {
      stateSequence = stamp.sequence();
    }
    return true;
  }

  /**
   * Renews the session by a message of the router.
   *
   * <p>The lease starts at the sending time of the latest message of the owner that the router has
   * received. It is therefore measured by one clock, and a delayed message does not extend it.
   */
  void renew(ClientStamp stamp) {
    leaseStartNanos = Math.max(leaseStartNanos, stamp.sentAtNanos());
    long acknowledged = stamp.acknowledgedNanos();
    acknowledgedNanos = Math.max(acknowledgedNanos, acknowledged);
    if (acknowledged >= latestGrantNanos) {
      unacknowledgedSinceNanos = NEVER;
    } else if (acknowledged >= unacknowledgedSinceNanos) {
      unacknowledgedSinceNanos = acknowledged + 1;
    }
  }

  /** Returns whether the router has answered in this session, so that its share counts. */
  boolean confirmed() {
    return acknowledgedNanos >= openedAtNanos;
  }

  /** Returns when the session ends unless it is renewed. */
  long expiresAtNanos() {
    return Math.max(openedAtNanos, acknowledgedNanos)
        + options.leaseNanos()
        + options.marginNanos();
  }

  /** Returns the remaining time for which the router may use its slots. */
  long leaseLeftNanos(long nowNanos) {
    return Math.max(0, expiresAtNanos() - options.marginNanos() - nowNanos);
  }

  /** Records that a grant was sent. */
  void recordGrant(long nowNanos) {
    latestGrantNanos = nowNanos;
    unacknowledgedSinceNanos = Math.min(unacknowledgedSinceNanos, nowNanos);
  }

  void addSlot(Slot slot) {
    slots.put(slot.id, slot);
    heldDigest = heldDigest.with(slot.id);
  }

  void removeSlot(Slot slot) {
    if (slots.remove(slot.id) != null) {
      heldDigest = heldDigest.without(slot.id);
      if (slot.request != null) {
        running.remove(slot.request.request(), slot);
      }
    }
  }

  void addWaiting(WaitingRequest<PendingRequest> entry) {
    waiting.put(entry.request(), entry);
    waitingDigest = waitingDigest.with(entry.request());
  }

  void removeWaiting(RequestId request) {
    if (waiting.remove(request) != null) {
      waitingDigest = waitingDigest.without(request);
    }
  }
}
