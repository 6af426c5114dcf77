package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.routing.EngineSpec;

/**
 * Says which streams pause for too long while their engine reads a long prompt.
 *
 * <p>An engine reads prompts in chunks between the tokens of its streams, so each token takes as
 * long as a chunk, and an event as many of these as it holds tokens.
 */
final class ReadingPause {
  /** Prompt tokens that are read within the pauses that chats bear: four chunks of a thousand. */
  static final int SHORT_TOKENS = 4_000;

  /** Fragility from which a request counts as a chat: a pause target of at most 0.2 s. */
  private static final double FRAGILE = 0.5;

  /**
   * Time for one token while a chunk of a thousand is read, in milliseconds: chats of three tokens
   * an event paused for 116 ms (95th percentile) beside long prompts on the users' bench.
   */
  private static final double TOKEN_MILLIS = 37;

  /** Share of the pause target that may be used, since the pause varies with what runs beside. */
  private static final double USED_SHARE = 0.9;

  private final double pauseMillis;

  ReadingPause(EngineSpec spec) {
    pauseMillis = spec.tokensPerEvent() * TOKEN_MILLIS;
  }

  /** Returns whether a request is a short one that reading beside it makes late. */
  boolean harms(Work work) {
    return work.fragility() >= FRAGILE
        && work.promptTokens() <= SHORT_TOKENS
        && pauseMillis > USED_SHARE * work.gapTargetMillis();
  }
}
