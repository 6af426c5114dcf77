package io.jacinthquay.decision.slots;

/** The state that an owner keeps for a waiting request. */
final class PendingRequest {
  final Session session;
  final SlotRequest request;

  /** When its deadline is checked next. */
  long checkAtNanos;

  /** Whether its latest start is near, so that work of lower tiers may be preempted for it. */
  boolean critical;

  PendingRequest(Session session, SlotRequest request) {
    this.session = session;
    this.request = request;
  }
}
