package io.jacinthquay.decision.capacity;

/** Where an upstream is in its life. */
public enum Phase {
  /** Ordered and not yet serving. */
  STARTING,
  /** Serving, also while its limit still grows. */
  SERVING,
  /** Gets no new work and finishes what it has. */
  DRAINING
}
