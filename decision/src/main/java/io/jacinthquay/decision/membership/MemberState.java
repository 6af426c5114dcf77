package io.jacinthquay.decision.membership;

/** What is known of a member's life; of two reports on one incarnation the later constant wins. */
public enum MemberState {
  /** It has answered. */
  ALIVE,
  /** It has not answered a probe and may still refute the suspicion. */
  SUSPECT,
  /** It has not refuted the suspicion in time. */
  DEAD,
  /** It has said that it ends. */
  LEFT
}
