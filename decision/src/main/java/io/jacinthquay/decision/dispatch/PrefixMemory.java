package io.jacinthquay.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one engine probably has in its prefix cache: the parts that it read most recently.
 *
 * <p>The engine drops the least recently used parts first; so does this model of it.
 */
final class PrefixMemory {
  /** Share of the memory that is left to cached parts beside running requests. */
  private static final double CACHE_SHARE = 0.7;

  private final long capacityTokens;
  private final LinkedHashMap<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  PrefixMemory(long memoryTokens) {
    capacityTokens = (long) (memoryTokens * CACHE_SHARE);
  }

  /** Returns how many tokens at the beginning of a prompt are cached. */
  int cachedTokens(List<PromptPart> prompt) {
    int cached = 0;
    for (PromptPart part : prompt) {
      if (!parts.containsKey(part.id())) {
        return cached;
      }
      cached += part.tokens();
    }
    return cached;
  }

  /** Records that the engine reads a prompt. */
  void read(List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      Integer before = parts.put(part.id(), part.tokens());
      tokens += part.tokens() - (before == null ? 0 : before);
    }
    var oldest = parts.entrySet().iterator();
    while (tokens > capacityTokens && oldest.hasNext()) {
      Map.Entry<Long, Integer> entry = oldest.next();
      tokens -= entry.getValue();
      oldest.remove();
    }
  }
}
