package io.jacinthquay.decision.capacity;

/** The kinds of upstream that the platform sells. */
public enum Market {
  /** Stays until it is stopped. */
  REGULAR,
  /** Costs less and may vanish at any time, together with all others of its failure domain. */
  CHEAP
}
