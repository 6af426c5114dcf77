package io.jacinthquay.decision.membership;

/**
 * The state of a member. Of two reports about the same incarnation, the one with the later constant
 * wins.
 */
public enum MemberState {
  /** It answers. */
  ALIVE,
  /** It did not answer a probe and may still refute the suspicion. */
  SUSPECT,
  /** It did not refute the suspicion in time. */
  DEAD,
  /** It announced that it stops. */
  LEFT
}
