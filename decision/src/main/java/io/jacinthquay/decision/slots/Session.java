package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.fairness.Waiting;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.VmId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What an owner knows of one router that vouches for it. */
final class Session {
  private static final long NEVER = Long.MAX_VALUE;

  final VmId router;
  final long incarnation;
  final Map<RequestId, Waiting<Pending>> waiting = new HashMap<>();
  final Map<SlotId, Slot> slots = new LinkedHashMap<>();
  final Map<RequestId, Slot> running = new HashMap<>();
  private final ReplayWindow window = new ReplayWindow();
  private long stateSequence;
  private final SlotOptions options;
  private final long openedAtNanos;
  private long heardNanos = Long.MIN_VALUE;
  long basisNanos = Long.MIN_VALUE / 2;

  /** Slots that a former owner granted, by upstream. */
  final Map<UpstreamSlots, Integer> inherited = new HashMap<>();

  /** When a former owner may no longer count on this router; the least value without one. */
  long vouchFreeAtNanos = Long.MIN_VALUE;

  /** Whether the router has told of its former owner, and whether it had one. */
  boolean told;

  boolean hadFormerOwner;

  /** Whether no work of a former owner can be unknown. */
  boolean settled;

  SlotDigest heldDigest = SlotDigest.EMPTY;
  SlotDigest waitingDigest = SlotDigest.EMPTY;
  int idle;
  int wanted;
  int mismatches;

  /** When the earliest grant was sent that the router has not shown to have heard; or never. */
  long unheardSinceNanos = NEVER;

  /** When the latest grant was sent. */
  private long latestGrantNanos = Long.MIN_VALUE;

  /** Whether the router seems unreachable, so that it gets no grants. */
  boolean suspect;

  Session(VmId router, long incarnation, long openedAtNanos, SlotOptions options) {
    this.router = router;
    this.incarnation = incarnation;
    this.openedAtNanos = openedAtNanos;
    this.options = options;
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
   * Takes in when a message was sent, and up to which of the owner's messages its sender has heard.
   *
   * <p>The lease counts from the latest message of the owner that the router has heard. So it is
   * measured by one clock, and a message that was held up on its way extends nothing.
   */
  void renew(ClientStamp stamp) {
    basisNanos = Math.max(basisNanos, stamp.sentAtNanos());
    long heard = stamp.heardNanos();
    heardNanos = Math.max(heardNanos, heard);
    if (heard >= latestGrantNanos) {
      unheardSinceNanos = NEVER;
    } else if (heard >= unheardSinceNanos) {
      unheardSinceNanos = heard + 1;
    }
  }

  /** Returns whether the router has answered within this session, so that its share counts. */
  boolean confirmed() {
    return heardNanos >= openedAtNanos;
  }

  /** Returns when the session ends unless it is renewed. */
  long expiresAtNanos() {
    return Math.max(openedAtNanos, heardNanos) + options.leaseNanos() + options.marginNanos();
  }

  /** Returns how long the router may go on using its slots. */
  long leaseLeftNanos(long nowNanos) {
    return Math.max(0, expiresAtNanos() - options.marginNanos() - nowNanos);
  }

  /** Notes that a grant was sent. */
  void sentGrant(long nowNanos) {
    latestGrantNanos = nowNanos;
    unheardSinceNanos = Math.min(unheardSinceNanos, nowNanos);
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
