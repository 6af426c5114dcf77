package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Message.Announce;
import io.jacinthquay.consensus.raft.Message.AnnounceReply;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Bootstraps the cluster. A replica with an empty data folder announces itself to the seeds. The
 * seed with the lowest id forms the cluster once every other seed has reported an empty data folder
 * too. After that, a replica with an empty data folder can never form a cluster again; only the
 * leader can add it.
 */
final class ClusterBootstrap {
  private static final int ANNOUNCE_INTERVAL_HEARTBEATS = 3;
  private static final int ANNOUNCE_EXPIRY_ELECTION_TIMEOUTS = 3;

  private final RaftState state;
  private final Map<MemberId, ReplicaId> emptyReplicas = new TreeMap<>();
  private final Map<ReplicaId, Long> announced = new TreeMap<>();
  private long nextAnnounce;

  ClusterBootstrap(RaftState state) {
    this.state = state;
    nextAnnounce = state.now;
  }

  /** Expires old announcements and announces this replica while it is in no cluster. */
  void tick() {
    long oldestValid =
        state.now - ANNOUNCE_EXPIRY_ELECTION_TIMEOUTS * state.options.electionNanos();
    announced.values().removeIf(announcedAt -> announcedAt < oldestValid);
    if (!state.isFormed() && state.now >= nextAnnounce) {
      nextAnnounce = state.now + ANNOUNCE_INTERVAL_HEARTBEATS * state.options.heartbeatNanos();
      announce();
    }
  }

  private void announce() {
    for (MemberId seed : state.seeds) {
      if (!seed.equals(state.self.member())) {
        state.outbox.send(new Announce(state.self, ReplicaId.any(seed)));
      }
    }
  }

  /**
   * Answers an announcement and passes it on to the leader, which is not a seed of every replica.
   */
  void receive(Announce announce) {
    announced.put(announce.from(), state.now);
    boolean passedOn = announce.to().incarnation() != ReplicaId.ANY_INCARNATION;
    if (!state.isLeader() && !passedOn) {
      state.leader.ifPresent(leader -> state.outbox.send(new Announce(announce.from(), leader)));
    }
    state.outbox.send(new AnnounceReply(state.self, announce.from(), state.isFormed()));
  }

  void receive(AnnounceReply reply) {
    if (reply.formed()) {
      emptyReplicas.remove(reply.from().member());
    } else {
      emptyReplicas.put(reply.from().member(), reply.from());
    }
  }

  /** Returns the initial membership if this replica is the one to form the cluster now. */
  Optional<Membership> initialMembership() {
    boolean isLowestSeed =
        !state.seeds.isEmpty() && Collections.min(state.seeds).equals(state.self.member());
    emptyReplicas.put(state.self.member(), state.self);
    boolean dataFolderEmpty = !state.isFormed() && state.term == 0;
    if (!isLowestSeed || !dataFolderEmpty || !emptyReplicas.keySet().containsAll(state.seeds)) {
      return Optional.empty();
    }
    Set<ReplicaId> voters = new HashSet<>(emptyReplicas.values());
    voters.removeIf(replica -> !state.seeds.contains(replica.member()));
    return Optional.of(new Membership(voters, Set.of()));
  }

  /** Returns the empty replicas that announced themselves recently and are not members yet. */
  List<ReplicaId> waiting() {
    Membership membership = state.membership();
    return announced.keySet().stream().filter(replica -> !membership.contains(replica)).toList();
  }
}
