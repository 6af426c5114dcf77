package io.jacinthquay.decision.placement;

import java.nio.charset.StandardCharsets;

/** Hash functions that give the same value in every process. */
public final class Hashing {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashing() {}

  /** Returns a well-spread hash of a number (the finaliser of SplitMix64). */
  public static long mix(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** Returns a well-spread hash of a text (FNV-1a, then {@link #mix}). */
  public static long of(String text) {
    long hash = FNV_OFFSET;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns the rank of a node for a key in rendezvous hashing; the highest rank wins. */
  public static long rank(long key, long node) {
    return mix(key ^ Long.rotateLeft(node, 17));
  }
}
