package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import java.util.Objects;

/**
 * The metadata of a snapshot.
 *
 * @param index the last log index that the snapshot includes, 0 for none
 * @param term the term of that entry
 * @param membership the membership in force at that index
 */
public record SnapshotMeta(long index, long term, Membership membership) {
  /** The metadata that stands for no snapshot. */
  public static final SnapshotMeta NONE = new SnapshotMeta(0, 0, Membership.EMPTY);

  /** Checks that the membership is present. */
  public SnapshotMeta {
    Objects.requireNonNull(membership, "membership");
  }
}
