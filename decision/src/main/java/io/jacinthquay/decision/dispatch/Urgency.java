package io.jacinthquay.decision.dispatch;

/**
 * The scheduling priority of requests that wait at an engine.
 *
 * <p>Orders by tier, then by first token target, so that short chats don't wait behind long prompts
 * of the same tier. A chat delays a long prompt by a few milliseconds; a long prompt makes a chat
 * miss its target.
 */
final class Urgency {
  /** Priority levels within a tier. */
  private static final int LEVELS_PER_TIER = 3;

  /** Largest target of the first level, in milliseconds; people perceive it as immediate. */
  private static final int IMMEDIATE_MILLIS = 400;

  /** Largest target of the second level, in milliseconds; people wait that long without leaving. */
  private static final int ACCEPTABLE_MILLIS = 1_000;

  private Urgency() {}

  /** Returns the priority of a request, 0 first; a higher tier always precedes a lower one. */
  static int of(PoolRequest work) {
    int level = 0;
    if (work.targetMillis() > IMMEDIATE_MILLIS) {
      level = work.targetMillis() > ACCEPTABLE_MILLIS ? 2 : 1;
    }
    return LEVELS_PER_TIER * work.tier().value() + level;
  }
}
