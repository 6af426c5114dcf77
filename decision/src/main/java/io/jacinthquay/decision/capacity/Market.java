package io.jacinthquay.decision.capacity;

/** The markets on which the platform offers upstreams. */
public enum Market {
  /** Upstreams that run until they are stopped. */
  REGULAR,
  /**
   * Upstreams that cost less and may be reclaimed at any time, together with all other cheap ones
   * of their failure domain.
   */
  CHEAP
}
