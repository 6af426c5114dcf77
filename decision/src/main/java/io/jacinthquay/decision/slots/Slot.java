package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;

/** One granted slot as its owner sees it. */
final class Slot {
  final SlotId id;
  private final VmId router;
  private final long routerIncarnation;
  final UpstreamSlots upstream;
  final long order;
  long startedAtNanos;

  /** The session that holds it; null once the session is lost. */
  Session session;

  /** The work on it; null while it is unused. */
  SlotRequest request;

  ClassPolicy policy;

  /** Tokens charged to the customer so far. */
  double charged;

  /** Whether its class has a claim to it by its floor, so that it is not preempted. */
  boolean floor;

  boolean recalled;
  boolean preemptOrdered;
  long orphanUntilNanos;
  long orphanSinceNanos;

  Slot(SlotId id, Session session, UpstreamSlots upstream, long order, long startedAtNanos) {
    this.id = id;
    this.session = session;
    this.router = session.router;
    this.routerIncarnation = session.incarnation;
    this.upstream = upstream;
    this.order = order;
    this.startedAtNanos = startedAtNanos;
  }

  /** Returns whether the same start of the same router holds it. */
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
