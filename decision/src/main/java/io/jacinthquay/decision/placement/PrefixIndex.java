package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.slots.Rendezvous;

/**
 * Tells which candidates probably hold a block in their prefix cache.
 *
 * <p>A bounded table from block hash to a set of candidates, kept as one bit per candidate. When a
 * bucket is full, the block that was used longest ago goes. Looking up a prompt costs one lookup
 * per block, whatever the number of candidates.
 */
final class PrefixIndex {
  private static final int WAYS = 4;
  private static final int BUCKETS = 1 << 15;

  private final long[] keys = new long[BUCKETS * WAYS];
  private final long[] holders = new long[BUCKETS * WAYS];
  private final int[] usedAt = new int[BUCKETS * WAYS];
  private int clock;

  /** Returns the candidates that probably hold a block, as bits. */
  long holders(long hash) {
    int entry = find(hash);
    if (entry < 0) {
      return 0;
    }
    usedAt[entry] = ++clock;
    return holders[entry];
  }

  void add(long hash, int slot) {
    int entry = find(hash);
    if (entry < 0) {
      entry = oldest(hash);
      keys[entry] = hash;
      holders[entry] = 0;
    }
    holders[entry] |= 1L << slot;
    usedAt[entry] = ++clock;
  }

  void remove(long hash, int slot) {
    int entry = find(hash);
    if (entry >= 0) {
      holders[entry] &= ~(1L << slot);
    }
  }

  /** Forgets everything about a candidate; takes time in proportion to the table. */
  void clear(int slot) {
    long keep = ~(1L << slot);
    for (int entry = 0; entry < holders.length; entry++) {
      holders[entry] &= keep;
    }
  }

  private int find(long hash) {
    int first = bucket(hash);
    for (int entry = first; entry < first + WAYS; entry++) {
      if (keys[entry] == hash && holders[entry] != 0) {
        return entry;
      }
    }
    return -1;
  }

  private int oldest(long hash) {
    int first = bucket(hash);
    int oldest = first;
    for (int entry = first; entry < first + WAYS; entry++) {
      if (holders[entry] == 0) {
        return entry;
      }
      if (usedAt[entry] - usedAt[oldest] < 0) {
        oldest = entry;
      }
    }
    return oldest;
  }

  private static int bucket(long hash) {
    return (int) (Rendezvous.mix(hash) >>> 49) * WAYS;
  }
}
