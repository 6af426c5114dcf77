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

/** Checks the invariants of Raft on what the replicas deliver, send and answer. */
final class Oracle {
  private record Vote(ReplicaId voter, long term) {}

  private final TreeMap<Long, Entry> committed = new TreeMap<>();
  private final Map<Long, ReplicaId> leaders = new HashMap<>();
  private final Map<Vote, ReplicaId> votes = new HashMap<>();
  private long highestAcknowledged;
  private long latestReconfiguration;

  static AssertionError violation(String message) {
    return new AssertionError(message);
  }

  /** Checks an entry that a replica delivers after the entry at {@code previousIndex}. */
  void delivered(ReplicaId replica, long previousIndex, Entry entry) {
    if (entry.index() != previousIndex + 1) {
      throw violation(replica + " applies " + entry.index() + " after " + previousIndex);
    }
    if (entry.payload() instanceof Payload.Reconfiguration) {
      latestReconfiguration = Math.max(latestReconfiguration, entry.index());
    }
    Entry earlier = committed.putIfAbsent(entry.index(), entry);
    if (earlier != null && !same(earlier, entry)) {
      throw violation(replica + " commits " + entry + " where " + earlier + " was committed");
    }
  }

  private static boolean same(Entry a, Entry b) {
    if (a.payload() instanceof Payload.Command x && b.payload() instanceof Payload.Command y) {
      return a.term() == b.term() && Arrays.equals(x.bytes(), y.bytes());
    }
    return a.term() == b.term() && a.payload().equals(b.payload());
  }

  /** Checks the state that a replica restored from a snapshot. */
  void restored(ReplicaId replica, long index, List<Integer> state) {
    if (!state.equals(commandsTo(index))) {
      throw violation(replica + " restores a wrong state at " + index);
    }
  }

  /** Returns the committed commands up to an index. */
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

  /** Returns the last committed membership. */
  Membership latestMembership() {
    return ((Payload.Reconfiguration) committed.get(latestReconfiguration).payload()).membership();
  }

  /** Returns the index of the last committed membership, 0 before the first. */
  long latestReconfiguration() {
    return latestReconfiguration;
  }

  /**
   * Checks a read that began when {@code acknowledgedBefore} was the highest acknowledged index.
   */
  void read(ReplicaId replica, long acknowledgedBefore, long readIndex) {
    if (readIndex < acknowledgedBefore) {
      throw violation(
          replica
              + " reads at "
              + readIndex
              + " after "
              + acknowledgedBefore
              + " was acknowledged");
    }
  }

  /** Checks that no term has two leaders. */
  void observed(LogStatus status) {
    if (status.isLeader()) {
      ReplicaId earlier = leaders.putIfAbsent(status.term(), status.self());
      if (earlier != null && !earlier.equals(status.self())) {
        throw violation(earlier + " and " + status.self() + " lead in term " + status.term());
      }
    }
  }

  /** Checks that no replica votes for two candidates in a term. */
  void sent(Message message) {
    if (message instanceof Message.VoteReply reply && reply.granted()) {
      voted(reply.from(), reply.term(), reply.to());
    } else if (message instanceof Message.VoteRequest request) {
      voted(request.from(), request.term(), request.from());
    }
  }

  private void voted(ReplicaId voter, long term, ReplicaId candidate) {
    ReplicaId earlier = votes.putIfAbsent(new Vote(voter, term), candidate);
    if (earlier != null && !earlier.equals(candidate)) {
      throw violation(voter + " votes for " + earlier + " and " + candidate + " in term " + term);
    }
  }
}
