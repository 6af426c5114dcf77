package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;

/** The memberships, keyed by the log index from which each is in force. */
final class MembershipHistory {
  private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

  MembershipHistory(SnapshotMeta snapshot) {
    reset(snapshot);
  }

  void add(Entry entry) {
    if (entry.payload() instanceof Payload.Reconfiguration change) {
      byIndex.put(entry.index(), change.membership());
    }
  }

  Membership latest() {
    return byIndex.lastEntry().getValue();
  }

  long latestIndex() {
    return byIndex.lastKey();
  }

  /**
   * Returns whether a replica is a voter of the committed membership or of an uncommitted one that
   * may still replace it.
   */
  boolean mayVote(ReplicaId replica, long commitIndex) {
    return possibleMemberships(commitIndex).stream()
        .anyMatch(membership -> membership.voters().contains(replica));
  }

  /**
   * Returns the replicas of the committed membership and of the uncommitted ones that may still
   * replace it.
   */
  Set<ReplicaId> participants(long commitIndex) {
    Set<ReplicaId> replicas = new HashSet<>();
    possibleMemberships(commitIndex).forEach(membership -> replicas.addAll(membership.replicas()));
    return replicas;
  }

  private Collection<Membership> possibleMemberships(long commitIndex) {
    Long committed = byIndex.floorKey(commitIndex);
    return byIndex.tailMap(committed == null ? byIndex.firstKey() : committed).values();
  }

  void truncateFrom(long index) {
    byIndex.tailMap(index, true).clear();
  }

  void compactTo(long index) {
    byIndex.headMap(byIndex.floorKey(index), false).clear();
  }

  void reset(SnapshotMeta snapshot) {
    byIndex.clear();
    byIndex.put(snapshot.index(), snapshot.membership());
  }
}
