package io.jacinthquay.decision.dispatch;

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

  /**
   * Time for one token while a chunk of a thousand is read, in milliseconds. Chats with three
   * tokens per event pause for 116 ms (95th percentile) beside long prompts.
   */
  private static final double TOKEN_MILLIS = 37;

  /** Share of the pause target that may be used, since the pause varies with concurrent load. */
  private static final double USED_SHARE = 0.9;

  private final double pauseMillis;

  PrefillPause(EngineSpec spec) {
    pauseMillis = spec.tokensPerEvent() * TOKEN_MILLIS;
  }

  /** Returns whether a request is short and misses its pause target beside a prefill. */
  boolean exceedsTarget(PoolRequest work) {
    return work.pauseSensitivity() >= CHAT_SENSITIVITY
        && work.promptTokens() <= MAX_SHORT_PROMPT_TOKENS
        && pauseMillis > USED_SHARE * work.gapTargetMillis();
  }
}
