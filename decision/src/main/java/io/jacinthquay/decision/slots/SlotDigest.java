package io.jacinthquay.decision.slots;

/**
 * A digest of a set of ids, used to compare two copies of the set.
 *
 * @param count the size of the set
 * @param hash exclusive or of the mixed hashes of the ids
 */
public record SlotDigest(int count, long hash) {
  /** The digest of the empty set. */
  public static final SlotDigest EMPTY = new SlotDigest(0, 0);

  /** Returns the digest after adding an id. */
  public SlotDigest with(Object id) {
    return new SlotDigest(count + 1, hash ^ RendezvousHash.mix(id.hashCode()));
  }

  /** Returns the digest after removing an id. */
  public SlotDigest without(Object id) {
    return new SlotDigest(count - 1, hash ^ RendezvousHash.mix(id.hashCode()));
  }
}
