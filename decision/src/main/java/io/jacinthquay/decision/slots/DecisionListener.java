package io.jacinthquay.decision.slots;

/** Hears every decision of an owner, in order. */
@FunctionalInterface
public interface DecisionListener {
  /** Ignores everything. */
  DecisionListener NONE = decision -> {};

  /** Takes in one decision; must not call back. */
  void decided(SlotDecision decision);
}
