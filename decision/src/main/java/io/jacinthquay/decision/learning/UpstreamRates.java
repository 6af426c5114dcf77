package io.jacinthquay.decision.learning;

import io.jacinthquay.decision.dispatch.UpstreamListing;

/** How fast upstreams work. */
public interface UpstreamRates {
  /** Returns how fast an engine reads prompts beside running streams, in tokens per millisecond. */
  double promptTokensPerMilli(UpstreamListing upstream);

  /**
   * Returns the time between two output tokens of a stream while its engine reads prompts, in
   * milliseconds; for a plain service, the time of one call.
   */
  double millisPerToken(UpstreamListing upstream);

  /**
   * Returns the time for one output token that only one in twenty exceeds while the engine reads
   * prompts, in milliseconds.
   */
  double longTokenMillis(UpstreamListing upstream);

  /**
   * Returns by how much the share of slow and failed responses of an upstream exceeds that of its
   * pool, 0 to 1.
   */
  double excessMisses(UpstreamListing upstream);
}
