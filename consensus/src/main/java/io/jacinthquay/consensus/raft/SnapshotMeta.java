package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import java.util.Objects;

/**
 * What a snapshot covers.
 *
 * @param index the last index that it includes, 0 for none
 * @param term the term of that entry
 * @param membership the membership in force at that index
 */
public record SnapshotMeta(long index, long term, Membership membership) {
  /** Covers nothing. */
  public static final SnapshotMeta NONE = new SnapshotMeta(0, 0, Membership.EMPTY);

  /** Checks that the membership is present. */
  public SnapshotMeta {
    Objects.requireNonNull(membership, "membership");
  }
}
