package io.jacinthquay.decision.learning;

import io.jacinthquay.decision.dispatch.UpstreamListing;

/** Rates that are the same for all engines. */
public final class FixedRates implements UpstreamRates {
  /**
   * Prefill rate beside running streams, in tokens per millisecond. Prefill alone runs at 50.7 to
   * 61.8; a decoding step comes after each thousand tokens.
   */
  public static final double PROMPT_TOKENS_PER_MILLI = 38;

  /**
   * Time for one token while a chunk of a thousand is read, in milliseconds. Chats with three
   * tokens per event pause for 116 ms (95th percentile) beside long prompts.
   */
  public static final double MILLIS_PER_TOKEN = 37;

  @Override
  public double promptTokensPerMilli(UpstreamListing upstream) {
    return PROMPT_TOKENS_PER_MILLI;
  }

  @Override
  public double millisPerToken(UpstreamListing upstream) {
    return MILLIS_PER_TOKEN;
  }

  @Override
  public double longTokenMillis(UpstreamListing upstream) {
    return MILLIS_PER_TOKEN;
  }

  @Override
  public double excessMisses(UpstreamListing upstream) {
    return 0;
  }
}
