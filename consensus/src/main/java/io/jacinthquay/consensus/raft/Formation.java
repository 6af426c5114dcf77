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
 * Forms the cluster. A replica with an empty data folder announces itself to the seeds. The least
 * seed forms the cluster once every seed has told it that its folder is empty too; after that no
 * empty folder can form one again, it can only be taken in by the leader.
 */
final class Formation {
  private static final int HEARTBEATS_PER_ANNOUNCE = 3;
  private static final int ELECTIONS_TO_FORGET = 3;

  private final RaftState state;
  private final Map<MemberId, ReplicaId> unformed = new TreeMap<>();
  private final Map<ReplicaId, Long> waiting = new TreeMap<>();
  private long nextAnnounce;

  Formation(RaftState state) {
    this.state = state;
    nextAnnounce = state.now;
  }

  void tick() {
    long oldest = state.now - ELECTIONS_TO_FORGET * state.options.electionNanos();
    waiting.values().removeIf(seen -> seen < oldest);
    if (!state.isFormed() && state.now >= nextAnnounce) {
      nextAnnounce = state.now + HEARTBEATS_PER_ANNOUNCE * state.options.heartbeatNanos();
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

  void receive(Announce announce) {
    waiting.put(announce.from(), state.now);
    state.outbox.send(new AnnounceReply(state.self, announce.from(), state.isFormed()));
  }

  void receive(AnnounceReply reply) {
    if (reply.formed()) {
      unformed.remove(reply.from().member());
    } else {
      unformed.put(reply.from().member(), reply.from());
    }
  }

  /** Gives the first membership if it is this replica's job to form the cluster and it may. */
  Optional<Membership> firstMembership() {
    boolean least =
        !state.seeds.isEmpty() && Collections.min(state.seeds).equals(state.self.member());
    unformed.put(state.self.member(), state.self);
    boolean untouched = !state.isFormed() && state.term == 0;
    if (!least || !untouched || !unformed.keySet().containsAll(state.seeds)) {
      return Optional.empty();
    }
    Set<ReplicaId> voters = new HashSet<>(unformed.values());
    voters.removeIf(replica -> !state.seeds.contains(replica.member()));
    return Optional.of(new Membership(voters, Set.of()));
  }

  /** Lists empty replicas that announced themselves lately and don't take part yet. */
  List<ReplicaId> waiting() {
    Membership membership = state.membership();
    return waiting.keySet().stream().filter(replica -> !membership.contains(replica)).toList();
  }
}
