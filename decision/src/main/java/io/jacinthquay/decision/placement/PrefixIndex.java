package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.slots.RendezvousHash;

/**
 * An index of the candidates that probably hold a block in their prefix cache.
 *
 * <p>It is a bounded, set-associative table from block hash to a set of candidates, stored as one
 * bit per candidate. When a bucket is full, its least recently used block is evicted. Finding the
 * holders of a prompt takes one lookup per block, regardless of the number of candidates.
 */
final class PrefixIndex {
  /** Entries per bucket. */
  private static final int WAYS = 4;

  private static final int BUCKETS = 1 << 15;

  private final long[] keys = new long[BUCKETS * WAYS];
  private final long[] holders = new long[BUCKETS * WAYS];
  private final int[] usedAt = new int[BUCKETS * WAYS];
  private int clock;

  /** Returns the candidates that probably hold a block, one bit per slot. */
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
      entry = leastRecentlyUsed(hash);
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

  /** Removes a candidate from all blocks, in time linear in the size of the table. */
  void clear(int slot) {
    long mask = ~(1L << slot);
    for (int entry = 0; entry < holders.length; entry++) {
      holders[entry] &= mask;
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

  private int leastRecentlyUsed(long hash) {
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
    return (int) (RendezvousHash.mix(hash) >>> 49) * WAYS;
  }
}
