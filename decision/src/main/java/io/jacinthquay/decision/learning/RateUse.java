package io.jacinthquay.decision.learning;

/** What a router does with the rates of upstreams. */
public enum RateUse {
  /** Rates are fixed; nothing is observed. */
  NONE,
  /** Rates are observed and reported, but upstreams are selected by fixed rates. */
  OBSERVE,
  /** Upstreams are selected by the learned rates. */
  PLACE
}
