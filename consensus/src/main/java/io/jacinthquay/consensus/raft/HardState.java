package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import java.util.Objects;
import java.util.Optional;

/**
 * The state that a replica keeps across restarts in addition to its log.
 *
 * @param term the highest term seen
 * @param votedFor the candidate that got the vote in that term, if any
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {
  /** The state of a new data folder. */
  public static final HardState INITIAL = new HardState(0, Optional.empty());

  /** Checks that the vote is present. */
  public HardState {
    Objects.requireNonNull(votedFor, "votedFor");
  }
}
