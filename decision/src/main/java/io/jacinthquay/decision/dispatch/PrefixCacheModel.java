package io.jacinthquay.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model of an engine's prefix cache: the prompt parts that it read most recently.
 *
 * <p>Like the engine, evicts the least recently used parts first.
 */
final class PrefixCacheModel {
  /** Share of engine memory that is available to the prefix cache beside running requests. */
  private static final double CACHE_SHARE = 0.7;

  private record Entry(int tokens, long readNanos) {}

  private final long capacityTokens;
  private final LinkedHashMap<Long, Entry> parts = new LinkedHashMap<>();
  private long tokens;

  PrefixCacheModel(long memoryTokens) {
    capacityTokens = (long) (memoryTokens * CACHE_SHARE);
  }

  /** Returns how many prefix tokens of a prompt are cached or being read. */
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

  /** Returns how many prefix tokens of a prompt have been read by now. */
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
   * @param readNanos expected end of the prefill, on the monotonic clock
   */
  void recordPrefill(List<PromptPart> prompt, long readNanos) {
    for (PromptPart part : prompt) {
      Entry previous = parts.remove(part.id());
      long earlier =
          previous == null || previous.readNanos() - readNanos > 0
              ? readNanos
              : previous.readNanos();
      parts.put(part.id(), new Entry(part.tokens(), earlier));
      tokens += part.tokens() - (previous == null ? 0 : previous.tokens());
    }
    var oldest = parts.entrySet().iterator();
    while (tokens > capacityTokens && oldest.hasNext()) {
      Map.Entry<Long, Entry> entry = oldest.next();
      tokens -= entry.getValue().tokens();
      oldest.remove();
    }
  }
}
