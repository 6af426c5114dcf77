package io.jacinthquay.decision.learning;

import io.jacinthquay.decision.dispatch.UpstreamListing;

/** How fast model engines work. */
public interface UpstreamRates {
  /** Returns how fast an engine reads prompts beside running streams, in tokens per millisecond. */
  double promptTokensPerMilli(UpstreamListing upstream);

  /** Returns the time between two output tokens of a stream at an engine, in milliseconds. */
  double millisPerToken(UpstreamListing upstream);
}
