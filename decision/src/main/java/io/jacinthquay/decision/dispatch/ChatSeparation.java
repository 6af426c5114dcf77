package io.jacinthquay.decision.dispatch;

import java.util.Optional;

/**
 * Keeps chats and long prompts apart.
 *
 * <p>Chats prefer the engines reserved for them or, where rates are learned, those on which they
 * keep their pause target beside any prompt. Long prompts avoid reserved engines; one at a time may
 * run there if no other engine has capacity.
 */
final class ChatSeparation {
  /** Cost of placing a chat on an engine that isn't reserved for chats, in milliseconds. */
  private static final double UNRESERVED_MILLIS = 40;

  /** Cost of placing a chat on an engine on which it pauses for too long, in milliseconds. */
  private static final double LONG_PAUSE_MILLIS = 120;

  /** Cost of placing a long prompt on an engine that is reserved for chats, in milliseconds. */
  private static final double RESERVED_MILLIS = 250;

  private final PoolRequest work;
  private final Optional<ReservedEngines> reserved;
  private final boolean learned;

  /**
   * Returns the separation for one request.
   *
   * @param reserved the engines reserved in its pool; empty if its upstreams are no engines
   * @param learned whether rates are learned
   */
  ChatSeparation(PoolRequest work, Optional<ReservedEngines> reserved, boolean learned) {
    this.work = work;
    this.reserved = reserved;
    this.learned = learned;
  }

  /** Returns whether an engine is reserved for chats. */
  boolean isReserved(UpstreamState state) {
    return reserved.isPresent() && reserved.get().contains(state);
  }

  /** Returns whether the engines are reserved for requests like this one. */
  boolean isReservedFor() {
    return reserved.isPresent() && reserved.get().isFor(work);
  }

  private boolean isLong() {
    return work.promptTokens() > PrefillPause.MAX_SHORT_PROMPT_TOKENS;
  }

  private boolean keepsPauseTarget(UpstreamState state) {
    return !reserved.orElseThrow().pausesTooLong(work, state);
  }

  private boolean isSeparateChat() {
    return learned && reserved.isPresent() && PrefillPause.isChat(work);
  }

  /** Returns whether the request belongs on an upstream where rates are learned. */
  boolean suits(UpstreamState state) {
    if (isSeparateChat()) {
      return isReservedFor() ? isReserved(state) : keepsPauseTarget(state);
    }
    return !isLong() || !isReserved(state);
  }

  /** Returns the cost of mixing chats and long prompts on an upstream, in milliseconds. */
  double cost(UpstreamState state) {
    if (isSeparateChat()) {
      double unsuitedMillis = keepsPauseTarget(state) ? UNRESERVED_MILLIS : LONG_PAUSE_MILLIS;
      return suits(state) ? 0 : unsuitedMillis;
    }
    boolean reservedHere = isReserved(state);
    if (isReservedFor()) {
      return reservedHere ? 0 : UNRESERVED_MILLIS;
    }
    if (!reservedHere || !isLong()) {
      return 0;
    }
    boolean prefilling = state.load().promptTokens() > PrefillPause.MAX_SHORT_PROMPT_TOKENS;
    return prefilling ? PlacementRule.UNAVAILABLE : RESERVED_MILLIS;
  }
}
