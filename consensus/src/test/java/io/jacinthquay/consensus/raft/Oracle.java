package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Knows what must hold, from what replicas deliver and answer. */
final class Oracle {
  private record Vote(ReplicaId voter, long term) {}

  private final TreeMap<Long, Entry> committed = new TreeMap<>();
  private final Map<Long, ReplicaId> leaders = new HashMap<>();
  private final Map<Vote, ReplicaId> votes = new HashMap<>();
  private long highestAcknowledged;
  private long latestReconfiguration;

  static AssertionError violation(String what) {
    return new AssertionError(what);
  }

  /** Checks an entry that a replica delivers after another index. */
  void delivered(ReplicaId replica, long previousIndex, Entry entry) {
    if (entry.index() != previousIndex + 1) {
      throw violation(replica + " applies " + entry.index() + " after " + previousIndex);
    }
    if (entry.payload() instanceof Payload.Reconfiguration) {
      latestReconfiguration = Math.max(latestReconfiguration, entry.index());
    }
    Entry known = committed.putIfAbsent(entry.index(), entry);
    if (known != null && !same(known, entry)) {
      throw violation(replica + " commits " + entry + " where " + known + " was committed");
    }
  }

  private static boolean same(Entry a, Entry b) {
    if (a.payload() instanceof Payload.Command x && b.payload() instanceof Payload.Command y) {
      return a.term() == b.term() && Arrays.equals(x.bytes(), y.bytes());
    }
    return a.term() == b.term() && a.payload().equals(b.payload());
  }

  /** Checks the state that a replica took from a snapshot. */
  void restored(ReplicaId replica, long index, List<Integer> state) {
    if (!state.equals(commandsTo(index))) {
      throw violation(replica + " restores another state at " + index);
    }
  }

  List<Integer> commandsTo(long index) {
    List<Integer> commands = new ArrayList<>();
    for (Entry entry : committed.headMap(index, true).values()) {
      if (entry.payload() instanceof Payload.Command command) {
        commands.add(SimNode.value(command));
      }
    }
    return commands;
  }

  void acknowledged(Entry entry) {
    highestAcknowledged = Math.max(highestAcknowledged, entry.index());
  }

  long highestAcknowledged() {
    return highestAcknowledged;
  }

  /** Gives the last committed membership. */
  Membership latestMembership() {
    return ((Payload.Reconfiguration) committed.get(latestReconfiguration).payload()).membership();
  }

  /** Gives the index of the last committed membership, 0 before the first. */
  long latestReconfiguration() {
    return latestReconfiguration;
  }

  /** Checks a read that began when a given index was the highest acknowledged one. */
  void read(ReplicaId replica, long acknowledgedBefore, long readIndex) {
    if (readIndex < acknowledgedBefore) {
      throw violation(
          replica + " reads at " + readIndex + " after " + acknowledgedBefore + " was confirmed");
    }
  }

  void observed(LogStatus status) {
    if (status.isLeader()) {
      ReplicaId other = leaders.putIfAbsent(status.term(), status.self());
      if (other != null && !other.equals(status.self())) {
        throw violation(other + " and " + status.self() + " lead in term " + status.term());
      }
    }
  }

  /** Checks that nobody votes twice in a term. */
  void sent(Message message) {
    if (message instanceof Message.VoteReply reply && reply.granted()) {
      voted(reply.from(), reply.term(), reply.to());
    } else if (message instanceof Message.VoteRequest request) {
      voted(request.from(), request.term(), request.from());
    }
  }

  private void voted(ReplicaId voter, long term, ReplicaId candidate) {
    ReplicaId other = votes.putIfAbsent(new Vote(voter, term), candidate);
    if (other != null && !other.equals(candidate)) {
      throw violation(voter + " votes for " + other + " and " + candidate + " in term " + term);
    }
  }
}
