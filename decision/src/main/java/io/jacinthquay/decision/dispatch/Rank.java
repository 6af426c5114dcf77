package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.UpstreamId;

/** Orders upstreams by a key, the same way at every router. */
final class Rank {
  private Rank() {}

  /** Returns the place of an upstream for a key; the largest is the first. */
  static long of(long key, UpstreamId upstream) {
    return mix((key * 0x9E3779B97F4A7C15L) ^ upstream.hashCode());
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 32)) * 0xD6E8FEB86659FD93L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return mixed ^ (mixed >>> 32);
  }
}
