package io.jacinthquay.decision.slots;

import java.util.Collection;
import java.util.Optional;

/**
 * Rendezvous hashing: chooses one of several candidates for a key. All processes with the same
 * candidates choose the same one, and the loss of a candidate moves only its own keys.
 */
public final class RendezvousHash {
  // Constants of the SplitMix64 finalizer.
  private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
  private static final long MIX_2 = 0x94d049bb133111ebL;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  // Constants of 64-bit FNV-1a.
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Returns the candidate with the highest weight for a key, or nothing without candidates. */
  public static <T extends Comparable<T>> Optional<T> choose(long key, Collection<T> candidates) {
    T best = null;
    long bestWeight = 0;
    for (T candidate : candidates) {
      long weight = mix(key ^ hash(candidate.toString()));
      boolean heavier = best == null || Long.compareUnsigned(weight, bestWeight) > 0;
      boolean tie = best != null && weight == bestWeight && candidate.compareTo(best) < 0;
      if (heavier || tie) {
        best = candidate;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns a hash of a text that is stable across processes. */
  public static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns a well-mixed 64-bit hash of a value. */
  public static long mix(long value) {
    long mixed = value + GOLDEN_GAMMA;
    mixed = (mixed ^ (mixed >>> 30)) * MIX_1;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_2;
    return mixed ^ (mixed >>> 31);
  }
}
