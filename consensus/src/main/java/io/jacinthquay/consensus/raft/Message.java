package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import java.util.List;
import java.util.Objects;

/** A message between replicas. Every message names both ends and the sender's term. */
public sealed interface Message {
  /**
   * Returns the sender.
   *
   * @return the replica that sent the message
   */
  ReplicaId from();

  /**
   * Returns the receiver. Only {@link Announce} may use a wildcard incarnation.
   *
   * @return the replica that the message is addressed to
   */
  ReplicaId to();

  /**
   * Returns the sender's term.
   *
   * @return the term, or 0 for messages without a term
   */
  long term();

  /**
   * Asks whether the receiver would vote for the sender in the given term. Changes no state.
   *
   * @param from the sender
   * @param to the receiver
   * @param term the term of the possible election
   * @param lastIndex the last index of the sender's log
   * @param lastTerm the term of that entry
   */
  record PreVoteRequest(ReplicaId from, ReplicaId to, long term, long lastIndex, long lastTerm)
      implements Message {}

  /**
   * Answers a {@link PreVoteRequest}.
   *
   * @param from the sender
   * @param to the receiver
   * @param term the requested term if granted, else the sender's own
   * @param granted whether the sender would vote
   */
  record PreVoteReply(ReplicaId from, ReplicaId to, long term, boolean granted)
      implements Message {}

  /**
   * Asks for a vote.
   *
   * @param from the candidate
   * @param to the receiver
   * @param term the term of the election
   * @param lastIndex the last index of the candidate's log
   * @param lastTerm the term of that entry
   * @param leadershipTransfer whether the election is part of a leadership transfer
   */
  record VoteRequest(
      ReplicaId from,
      ReplicaId to,
      long term,
      long lastIndex,
      long lastTerm,
      boolean leadershipTransfer)
      implements Message {}

  /**
   * Answers a {@link VoteRequest}. It is sent once the vote is durable.
   *
   * @param from the sender
   * @param to the candidate
   * @param term the sender's term
   * @param granted whether the candidate has the vote
   */
  record VoteReply(ReplicaId from, ReplicaId to, long term, boolean granted) implements Message {}

  /**
   * Replicates log entries. Without entries it is a heartbeat.
   *
   * @param from the leader
   * @param to the receiver
   * @param term the leader's term
   * @param prevIndex the index before the first entry
   * @param prevTerm the term of the entry at {@code prevIndex}
   * @param entries the entries in index order, without gaps
   * @param commitIndex the leader's commit index
   * @param round the leader's latest read round, echoed in the reply
   */
  record AppendRequest(
      ReplicaId from,
      ReplicaId to,
      long term,
      long prevIndex,
      long prevTerm,
      List<Entry> entries,
      long commitIndex,
      long round)
      implements Message {
    /** Checks that the entries are present; the list must not be changed afterwards. */
    public AppendRequest {
      Objects.requireNonNull(entries, "entries");
    }
  }

  /**
   * Answers an {@link AppendRequest}. A positive reply covers durable entries only.
   *
   * @param from the sender
   * @param to the leader
   * @param term the sender's term
   * @param success whether the logs agree at the request's previous index
   * @param index the highest durable matching index, or the rejected previous index
   * @param hintIndex after a rejection, the index from which the leader searches for a match
   * @param hintTerm the sender's term at {@code hintIndex}
   * @param round the round of the request
   */
  record AppendReply(
      ReplicaId from,
      ReplicaId to,
      long term,
      boolean success,
      long index,
      long hintIndex,
      long hintTerm,
      long round)
      implements Message {}

  /**
   * Carries a chunk of a snapshot.
   *
   * @param from the leader
   * @param to the receiver
   * @param term the leader's term
   * @param meta the metadata of the snapshot
   * @param offset the position of the first byte in the snapshot
   * @param data the bytes, which must not be changed
   * @param last whether this is the last chunk
   */
  record SnapshotChunk(
      ReplicaId from,
      ReplicaId to,
      long term,
      SnapshotMeta meta,
      long offset,
      byte[] data,
      boolean last)
      implements Message {
    /** Checks that meta and data are present. */
    public SnapshotChunk {
      Objects.requireNonNull(meta, "meta");
      Objects.requireNonNull(data, "data");
    }
  }

  /**
   * Answers a {@link SnapshotChunk}.
   *
   * @param from the sender
   * @param to the leader
   * @param term the sender's term
   * @param index the last index that the snapshot covers
   * @param nextOffset the offset of the next byte that the sender expects
   * @param installed whether the snapshot is durable and installed
   */
  record SnapshotReply(
      ReplicaId from, ReplicaId to, long term, long index, long nextOffset, boolean installed)
      implements Message {}

  /**
   * Asks the leader for a read index.
   *
   * @param from the sender
   * @param to the leader
   * @param term the sender's term
   * @param requestId the sender's number for this request
   */
  record ReadRequest(ReplicaId from, ReplicaId to, long term, long requestId) implements Message {}

  /**
   * Answers a {@link ReadRequest}.
   *
   * @param from the leader
   * @param to the receiver
   * @param term the leader's term
   * @param requestId the number of the request
   * @param readIndex the index to wait for, or 0 if no quorum confirmed the leader
   */
  record ReadReply(ReplicaId from, ReplicaId to, long term, long requestId, long readIndex)
      implements Message {}

  /**
   * Transfers leadership: asks a follower to start an election at once, without a pre-vote.
   *
   * @param from the leader
   * @param to the follower
   * @param term the leader's term
   */
  record LeadershipTransfer(ReplicaId from, ReplicaId to, long term) implements Message {}

  /**
   * Announces that the sender has an empty data folder and wants to form or join a cluster.
   *
   * @param from the sender
   * @param to the receiving seed member, with a wildcard incarnation
   */
  record Announce(ReplicaId from, ReplicaId to) implements Message {
    @Override
    public long term() {
      return 0;
    }
  }

  /**
   * Answers an {@link Announce}.
   *
   * @param from the sender
   * @param to the replica that announced itself
   * @param formed whether the sender's data folder belongs to a cluster
   */
  record AnnounceReply(ReplicaId from, ReplicaId to, boolean formed) implements Message {
    @Override
    public long term() {
      return 0;
    }
  }
}
