package io.jacinthquay.decision.slots;

/**
 * A short form of a set of ids, to compare two views of it.
 *
 * @param count the size of the set
 * @param hash exclusive or over the mixed hashes of the ids
 */
public record SlotDigest(int count, long hash) {
  /** The digest of the empty set. */
  public static final SlotDigest EMPTY = new SlotDigest(0, 0);

  /** Returns the digest with one more id. */
  public SlotDigest with(Object id) {
    return new SlotDigest(count + 1, hash ^ Rendezvous.mix(id.hashCode()));
  }

  /** Returns the digest with one id less. */
  public SlotDigest without(Object id) {
    return new SlotDigest(count - 1, hash ^ Rendezvous.mix(id.hashCode()));
  }
}
