package io.jacinthquay.decision.slots;

/** Receives every decision of an owner, in order. */
@FunctionalInterface
public interface DecisionListener {
  /** A listener that ignores all decisions. */
  DecisionListener NONE = decision -> {};

  /** Called for each decision; must not call back into the owner. */
  void onDecision(SlotDecision decision);
}
