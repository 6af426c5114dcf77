package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;

/** A granted slot in the state of its owner. */
final class Slot {
  final SlotId id;
  private final VmId router;
  private final long routerIncarnation;
  final UpstreamSlots upstream;

  /** Sequence number of the grant. */
  final long grantNumber;

  long startedAtNanos;

  /** The session that holds the slot; null once the session has ended. */
  Session session;

  /** The request that uses the slot; null while it is unused. */
  SlotRequest request;

  ClassPolicy policy;

  /** Number of tokens charged to the customer so far. */
  double charged;

  /** Whether the slot was granted by the floor of its class, so that its work is not preempted. */
  boolean floor;

  boolean recalled;
  boolean preemptOrdered;
  long orphanUntilNanos;
  long orphanSinceNanos;

  Slot(SlotId id, Session session, UpstreamSlots upstream, long grantNumber, long startedAtNanos) {
    this.id = id;
    this.session = session;
    this.router = session.router;
    this.routerIncarnation = session.incarnation;
    this.upstream = upstream;
    this.grantNumber = grantNumber;
    this.startedAtNanos = startedAtNanos;
  }

  /** Returns whether the same incarnation of the same router holds the slot. */
  boolean heldBy(Session other) {
    return router.equals(other.router) && routerIncarnation == other.incarnation;
  }

  boolean idle() {
    return request == null;
  }

  boolean preemptible() {
    return request != null && request.preemptible() && !floor && session != null;
  }
}
