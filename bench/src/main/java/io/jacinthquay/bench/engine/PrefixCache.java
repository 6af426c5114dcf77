package io.jacinthquay.bench.engine;

import io.jacinthquay.decision.placement.PromptPrefix;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prefix cache of an engine, in blocks of prompt tokens, with LRU eviction. */
final class PrefixCache {
  private final int capacityBlocks;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Long> stored = new ArrayList<>();
  private final List<Long> removed = new ArrayList<>();

  PrefixCache(int capacityBlocks) {
    this.capacityBlocks = capacityBlocks;
  }

  /** Returns the number of leading blocks of a prompt in the cache; does not count as use. */
  int match(PromptPrefix prefix) {
    int matched = 0;
    while (matched < prefix.blocks() && blocks.containsKey(prefix.hash(matched))) {
      matched++;
    }
    return matched;
  }

  /** Adds the blocks of a prompt, or marks them as used, and evicts the eldest blocks. */
  void store(PromptPrefix prefix) {
    for (int block = prefix.blocks() - 1; block >= 0; block--) {
      if (blocks.put(prefix.hash(block), Boolean.TRUE) == null) {
        stored.add(prefix.hash(block));
      }
    }
    while (blocks.size() > capacityBlocks) {
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

  /** Returns the blocks stored since the last call. */
  List<Long> drainStored() {
    return drain(stored);
  }

  /** Returns the blocks evicted since the last call. */
  List<Long> drainRemoved() {
    return drain(removed);
  }

  private static List<Long> drain(List<Long> from) {
    List<Long> drained = List.copyOf(from);
    from.clear();
    return drained;
  }
}
