package io.jacinthquay.bench.engine;

import io.jacinthquay.decision.placement.PromptPrefix;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The engine's cache of prompt blocks; the block used longest ago goes first. */
final class PrefixCache {
  private final int capacity;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Long> stored = new ArrayList<>();
  private final List<Long> removed = new ArrayList<>();

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the leading blocks of a prompt that are held, without touching them. */
  int match(PromptPrefix prefix) {
    int depth = 0;
    while (depth < prefix.blocks() && blocks.containsKey(prefix.hash(depth))) {
      depth++;
    }
    return depth;
  }

  void store(PromptPrefix prefix) {
    for (int block = prefix.blocks() - 1; block >= 0; block--) {
      if (blocks.put(prefix.hash(block), Boolean.TRUE) == null) {
        stored.add(prefix.hash(block));
      }
    }
    while (blocks.size() > capacity) {
      Map.Entry<Long, Boolean> eldest = blocks.entrySet().iterator().next();
      removed.add(eldest.getKey());
      blocks.remove(eldest.getKey());
    }
  }

  void clear() {
    blocks.clear();
    stored.clear();
    removed.clear();
  }

  List<Long> takeStored() {
    return take(stored);
  }

  List<Long> takeRemoved() {
    return take(removed);
  }

  private static List<Long> take(List<Long> from) {
    List<Long> taken = List.copyOf(from);
    from.clear();
    return taken;
  }
}
