package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.UsageCounter;

/**
 * What work amounts to.
 *
 * @param requests number of requests
 * @param inputTokens tokens taken in
 * @param outputTokens tokens delivered
 */
record Amount(long requests, long inputTokens, long outputTokens) {
  static final Amount NONE = new Amount(0, 0, 0);

  static Amount of(UsageCounter counter) {
    return new Amount(counter.getRequests(), counter.getInputTokens(), counter.getOutputTokens());
  }

  boolean isNegative() {
    return requests < 0 || inputTokens < 0 || outputTokens < 0;
  }

  Amount max(Amount other) {
    return new Amount(
        Math.max(requests, other.requests),
        Math.max(inputTokens, other.inputTokens),
        Math.max(outputTokens, other.outputTokens));
  }

  Amount plus(Amount other) {
    return new Amount(
        requests + other.requests,
        inputTokens + other.inputTokens,
        outputTokens + other.outputTokens);
  }

  Amount minus(Amount other) {
    return new Amount(
        requests - other.requests,
        inputTokens - other.inputTokens,
        outputTokens - other.outputTokens);
  }
}
