package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.UsageCounter;

/**
 * Amount of usage.
 *
 * @param requests number of requests
 * @param inputTokens number of input tokens
 * @param outputTokens number of output tokens
 */
record UsageAmount(long requests, long inputTokens, long outputTokens) {
  static final UsageAmount ZERO = new UsageAmount(0, 0, 0);

  static UsageAmount of(UsageCounter counter) {
    return new UsageAmount(
        counter.getRequests(), counter.getInputTokens(), counter.getOutputTokens());
  }

  boolean isNegative() {
    return requests < 0 || inputTokens < 0 || outputTokens < 0;
  }

  UsageAmount max(UsageAmount other) {
    return new UsageAmount(
        Math.max(requests, other.requests),
        Math.max(inputTokens, other.inputTokens),
        Math.max(outputTokens, other.outputTokens));
  }

  UsageAmount plus(UsageAmount other) {
    return new UsageAmount(
        requests + other.requests,
        inputTokens + other.inputTokens,
        outputTokens + other.outputTokens);
  }

  UsageAmount minus(UsageAmount other) {
    return new UsageAmount(
        requests - other.requests,
        inputTokens - other.inputTokens,
        outputTokens - other.outputTokens);
  }
}
