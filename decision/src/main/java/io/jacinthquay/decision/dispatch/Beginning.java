package io.jacinthquay.decision.dispatch;

/**
 * Where the beginning of a prompt is that other prompts share.
 *
 * @param home the engine that it belongs to, the same at every router; null if it shares nothing
 * @param holder the engine that has read most of it; null if none is known
 * @param heldTokens tokens of the prompt that the holder can hand over, 0 or more
 */
record Beginning(UpstreamState home, UpstreamState holder, int heldTokens) {
  /** A prompt that shares nothing, or a request without one. */
  static final Beginning NONE = new Beginning(null, null, 0);

  boolean isHome(UpstreamState state) {
    return state == home;
  }

  /** Returns the tokens that an engine would get from the holder instead of reading them. */
  int fetchedTokens(int cachedTokens, UpstreamState state) {
    return state == holder || holder == null ? 0 : Math.max(0, heldTokens - cachedTokens);
  }
}
