package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.fairness.Waiting;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.VmId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What an owner knows of one router that vouches for it. */
final class Session {
  final VmId router;
  final long incarnation;
  final Map<RequestId, Waiting<Pending>> waiting = new HashMap<>();
  final Map<SlotId, Slot> slots = new LinkedHashMap<>();
  final Map<RequestId, Slot> running = new HashMap<>();
  private final ReplayWindow window = new ReplayWindow();
  private long stateSequence;
  private long smallestDelay = Long.MAX_VALUE;
  long basisNanos;
  long expiresAtNanos;

  /** When a former owner may no longer count on this router; the least value without one. */
  long vouchFreeAtNanos = Long.MIN_VALUE;

  SlotDigest heldDigest = SlotDigest.EMPTY;
  SlotDigest waitingDigest = SlotDigest.EMPTY;
  int idle;
  int wanted;
  int mismatches;

  Session(VmId router, long incarnation) {
    this.router = router;
    this.incarnation = incarnation;
  }

  /** Takes in the order of a message and returns whether it is to be processed. */
  boolean accept(ClientStamp stamp, boolean state) {
    if (stamp.sequence() <= stateSequence || !window.accept(stamp.sequence())) {
      return false;
    }
    if (state) {
      stateSequence = stamp.sequence();
    }
    return true;
  }

  /**
   * Extends the lease.
   *
   * <p>It counts from when the message was sent: delay above the smallest seen is taken off, so
   * that a message that was held up does not extend the lease beyond what its sender counts with.
   */
  void renew(long nowNanos, ClientStamp stamp, SlotOptions options) {
    long delay = nowNanos - stamp.sentAtNanos();
    smallestDelay = Math.min(smallestDelay, delay);
    long sentAt = nowNanos - (delay - smallestDelay);
    basisNanos = Math.max(basisNanos, stamp.sentAtNanos());
    expiresAtNanos =
        Math.max(expiresAtNanos, sentAt + options.leaseNanos() + options.marginNanos());
  }

  void holds(Slot slot) {
    slots.put(slot.id, slot);
    heldDigest = heldDigest.with(slot.id);
  }

  void drops(Slot slot) {
    if (slots.remove(slot.id) != null) {
      heldDigest = heldDigest.without(slot.id);
      if (slot.request != null) {
        running.remove(slot.request.request(), slot);
      }
    }
  }

  void waits(Waiting<Pending> entry) {
    waiting.put(entry.request(), entry);
    waitingDigest = waitingDigest.with(entry.request());
  }

  void stopsWaiting(RequestId request) {
    if (waiting.remove(request) != null) {
      waitingDigest = waitingDigest.without(request);
    }
  }
}
