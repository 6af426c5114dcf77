package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Message.ReadReply;
import io.jacinthquay.consensus.raft.Message.ReadRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Confirms read indexes for linearizable reads: the leader by a round of heartbeats, other replicas
 * by a request to the leader.
 */
final class ReadIndexRequests {
  private record Request(ReplicaId from, long id) {}

  private record Round(long number, long index, List<Request> requests) {}

  private final RaftState state;
  private final Leadership leadership;
  private final ArrayDeque<Round> rounds = new ArrayDeque<>();
  private final Map<Long, Long> forwardedDeadlines = new LinkedHashMap<>();
  private List<Request> waiting = new ArrayList<>();
  private long nextId;

  ReadIndexRequests(RaftState state, Leadership leadership) {
    this.state = state;
    this.leadership = leadership;
    // A random start keeps late replies from before a restart from matching a new request.
    nextId = state.random.nextLong();
  }

  /** Starts a read of this replica and returns its number. */
  long request() {
    long id = nextId++;
    if (state.isLeader()) {
      waiting.add(new Request(state.self, id));
    } else if (state.leader.isPresent()) {
      forwardedDeadlines.put(id, state.now + state.options.readNanos());
      ReplicaId leader = state.leader.get();
      state.outbox.send(new ReadRequest(state.self, leader, state.term, id));
    } else {
      state.outbox.addReadResult(id, Optional.empty());
    }
    return id;
  }

  void receive(ReadRequest request) {
    if (state.isLeader()) {
      waiting.add(new Request(request.from(), request.requestId()));
    } else {
      state.outbox.send(
          new ReadReply(state.self, request.from(), state.term, request.requestId(), 0));
    }
  }

  void receive(ReadReply reply) {
    if (forwardedDeadlines.remove(reply.requestId()) != null) {
      Optional<Long> index =
          reply.readIndex() > 0 ? Optional.of(reply.readIndex()) : Optional.empty();
      state.outbox.addReadResult(reply.requestId(), index);
    }
  }

  /** Starts a round for new requests and answers those whose round a quorum has acknowledged. */
  void advance() {
    if (!state.isLeader()) {
      return;
    }
    boolean termCommitted = state.log.term(state.commitIndex) == state.term;
    if (!waiting.isEmpty() && (termCommitted || !state.rules.readRequiresQuorum())) {
      rounds.addLast(new Round(leadership.startRound(), state.commitIndex, waiting));
      waiting = new ArrayList<>();
    }
    while (!rounds.isEmpty() && isConfirmed(rounds.peekFirst())) {
      Round round = rounds.removeFirst();
      round.requests().forEach(request -> answer(request, round.index()));
    }
  }

  private boolean isConfirmed(Round round) {
    return !state.rules.readRequiresQuorum() || leadership.isConfirmed(round.number());
  }

  private void answer(Request request, long index) {
    if (!request.from().equals(state.self)) {
      state.outbox.send(new ReadReply(state.self, request.from(), state.term, request.id(), index));
    } else {
      state.outbox.addReadResult(request.id(), index > 0 ? Optional.of(index) : Optional.empty());
    }
  }

  /** Fails forwarded reads without a reply from the leader before their deadline. */
  void tick() {
    Iterator<Map.Entry<Long, Long>> entries = forwardedDeadlines.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, Long> entry = entries.next();
      if (state.now >= entry.getValue()) {
        state.outbox.addReadResult(entry.getKey(), Optional.empty());
        entries.remove();
      }
    }
  }

  /** Fails all reads, since the leader or the term has changed. */
  void failAll() {
    rounds.forEach(round -> round.requests().forEach(request -> answer(request, 0)));
    rounds.clear();
    waiting.forEach(request -> answer(request, 0));
    waiting = new ArrayList<>();
    forwardedDeadlines.keySet().forEach(id -> state.outbox.addReadResult(id, Optional.empty()));
    forwardedDeadlines.clear();
  }
}
