package io.jacinthquay.decision.slots;

/** What an owner attaches to a waiting request. */
final class Pending {
  final Session session;
  final SlotRequest request;

  /** When the next check of its deadline is due. */
  long checkAtNanos;

  /** Whether its latest start is near, so that work of lower tiers is preempted for it. */
  boolean critical;

  Pending(Session session, SlotRequest request) {
    this.session = session;
    this.request = request;
  }
}
