package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.UpstreamId;

/** Rendezvous hashing: orders upstreams by a key, identically at every router. */
final class RendezvousHash {
  private RendezvousHash() {}

  /** Returns the weight of an upstream for a key; the largest weight comes first. */
  static long weight(long key, UpstreamId upstream) {
    return mix((key * 0x9E3779B97F4A7C15L) ^ upstream.hashCode());
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 32)) * 0xD6E8FEB86659FD93L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return mixed ^ (mixed >>> 32);
  }
}
