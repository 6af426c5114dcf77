package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.learning.FixedRates;
import io.jacinthquay.model.routing.EngineSpec;

/**
 * Determines which streams pause for too long while their engine reads a long prompt.
 *
 * <p>An engine reads prompts in chunks between decoding steps, so each token of a stream takes as
 * long as a chunk, and each event takes that time for each of its tokens.
 */
final class PrefillPause {
  /** Longest prompt whose prefill pauses chats acceptably, in tokens: four chunks of a thousand. */
  static final int MAX_SHORT_PROMPT_TOKENS = 4_000;

  /** Pause sensitivity from which a request counts as a chat: a pause target of at most 0.2 s. */
  private static final double CHAT_SENSITIVITY = 0.5;

  /** Longest pause target of a chat, in milliseconds. */
  static final int MAX_CHAT_GAP_MILLIS = 200;

  /** Share of the pause target that may be used, since the pause varies with concurrent load. */
  private static final double USED_SHARE = 0.9;

  private final int tokensPerEvent;

  PrefillPause(EngineSpec spec) {
    tokensPerEvent = spec.tokensPerEvent();
  }

  /** Returns whether a request is short and misses its pause target beside a prefill. */
  boolean exceedsTarget(PoolRequest work) {
    return isChat(work) && exceeds(FixedRates.MILLIS_PER_TOKEN, work.gapTargetMillis());
  }

  /** Returns whether a request is short and sensitive to pauses. */
  static boolean isChat(PoolRequest work) {
    return work.pauseSensitivity() >= CHAT_SENSITIVITY
        && work.promptTokens() <= MAX_SHORT_PROMPT_TOKENS;
  }

  /**
   * Returns whether an event takes longer than a pause target allows.
   *
   * @param tokenMillis time for one token beside a prefill, in milliseconds
   */
  boolean exceeds(double tokenMillis, int gapTargetMillis) {
    return tokensPerEvent * tokenMillis > USED_SHARE * gapTargetMillis;
  }
}
