package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.placement.PromptPrefix;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.policy.ClassPolicy;

/** One request of the workload and its state as seen by the caller. */
final class SimRequest {
  /** Time of an event that has not happened. */
  static final long NEVER = -1;

  final RequestId id;
  final ClassPolicy classPolicy;
  final CustomerId customer;
  final PromptPrefix prefix;
  final int promptTokens;
  final int outputTokens;
  final long arrivedAt;

  int attempts;
  int deliveredTokens;
  long firstTokenAt = NEVER;
  long endedAt = NEVER;
  boolean completed;
  boolean rejected;
  boolean ended;
  boolean mayHaveRun;

  SimRequest(
      RequestId id,
      ClassPolicy classPolicy,
      CustomerId customer,
      PromptPrefix prefix,
      int promptTokens,
      int outputTokens,
      long arrivedAt) {
    this.id = id;
    this.classPolicy = classPolicy;
    this.customer = customer;
    this.prefix = prefix;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.arrivedAt = arrivedAt;
  }

  long firstTokenTargetNanos() {
    return classPolicy.firstTokenMs() * 1_000_000;
  }

  /** Returns the time at which the first token is due, in nanoseconds. */
  long deadline() {
    return arrivedAt + firstTokenTargetNanos();
  }

  /** Returns whether the response is complete and met both latency targets of its class. */
  boolean isOnTarget() {
    if (!completed || firstTokenAt - arrivedAt > firstTokenTargetNanos()) {
      return false;
    }
    double meanInterTokenMillis = (endedAt - firstTokenAt) / 1e6 / Math.max(1, outputTokens - 1);
    return meanInterTokenMillis <= classPolicy.interTokenMs();
  }
}
