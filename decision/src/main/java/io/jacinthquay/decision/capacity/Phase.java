package io.jacinthquay.decision.capacity;

/** The phase of an upstream's life cycle. */
public enum Phase {
  /** It was ordered and does not serve requests yet. */
  STARTING,
  /** It serves requests, even if its concurrency limit is still growing. */
  SERVING,
  /** It gets no new requests and completes the running ones. */
  DRAINING
}
