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
 * @param gapTargetMillis longest pause between events that counts as on target, in ms; 0 for none
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
    int gapTargetMillis,
    long arrivedNanos,
    long deadlineNanos) {
  private static final double FRAGILE_MILLIS = 100;

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

  /** Returns the tokens of the prompt that no other request shares. */
  public int ownTokens() {
    return parts.isEmpty() ? promptTokens : parts.get(parts.size() - 1).tokens();
  }

  /** Returns how easily a pause makes the request late: 1 for a target of a tenth of a second. */
  public double fragility() {
    return gapTargetMillis <= 0 ? 0 : FRAGILE_MILLIS / gapTargetMillis;
  }

  /** Returns the order in which engines take what waits there; 0 is first. */
  public int urgency() {
    return Urgency.of(this);
  }

  /** Returns the parts of the prompt that other requests share. */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the id of the longest shared beginning, or 0 if the prompt shares nothing. */
  public long sharedId() {
    return parts.size() < 2 ? 0 : parts.get(parts.size() - 2).id();
  }
}
