package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import java.util.List;
import java.util.Objects;

/**
 * What one request asks of a pool.
 *
 * @param pool the pool
 * @param tier its rank
 * @param promptTokens tokens to read, 0 for plain services
 * @param outputTokens most tokens to write, 0 for plain services
 * @param parts the parts of the prompt in order; the last one is the request's own
 * @param targetMillis time to the first token that counts as on target, in ms from the arrival
 * @param arrivedNanos when it arrived, on the monotonic clock
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 */
public record Work(
    PoolName pool,
    Tier tier,
    int promptTokens,
    int outputTokens,
    List<PromptPart> parts,
    int targetMillis,
    long arrivedNanos,
    long deadlineNanos) {
  /** Copies the list. */
  public Work {
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(tier, "tier");
    parts = List.copyOf(parts);
  }

  /** Returns the tokens that the request keeps in an engine's memory at most. */
  public long memoryTokens() {
    return (long) promptTokens + outputTokens;
  }

  /** Returns the id of the longest shared beginning, or 0 if the prompt shares nothing. */
  public long sharedId() {
    return parts.size() < 2 ? 0 : parts.get(parts.size() - 2).id();
  }
}
