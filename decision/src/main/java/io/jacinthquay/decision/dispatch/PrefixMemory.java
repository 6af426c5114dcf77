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

  private record Entry(int tokens, long readNanos) {}

  private final long capacityTokens;
  private final LinkedHashMap<Long, Entry> parts = new LinkedHashMap<>();
  private long tokens;

  PrefixMemory(long memoryTokens) {
    capacityTokens = (long) (memoryTokens * CACHE_SHARE);
  }

  /** Returns how many tokens at the beginning of a prompt are cached or being read. */
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

  /** Returns how many tokens at the beginning of a prompt have been read by now. */
  int readTokens(List<PromptPart> prompt, long now) {
    int read = 0;
    for (PromptPart part : prompt) {
      Entry entry = parts.get(part.id());
      if (entry == null || now - entry.readNanos() < 0) {
        return read;
      }
      read += part.tokens();
    }
    return read;
  }

  /**
   * Records that the engine reads a prompt.
   *
   * @param readNanos when it will have read it, on the monotonic clock
   */
  void read(List<PromptPart> prompt, long readNanos) {
    for (PromptPart part : prompt) {
      Entry before = parts.remove(part.id());
      long earlier =
          before == null || before.readNanos() - readNanos > 0 ? readNanos : before.readNanos();
      parts.put(part.id(), new Entry(part.tokens(), earlier));
      tokens += part.tokens() - (before == null ? 0 : before.tokens());
    }
    var oldest = parts.entrySet().iterator();
    while (tokens > capacityTokens && oldest.hasNext()) {
      Map.Entry<Long, Entry> entry = oldest.next();
      tokens -= entry.getValue().tokens();
      oldest.remove();
    }
  }
}
