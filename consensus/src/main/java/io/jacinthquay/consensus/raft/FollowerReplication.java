package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.raft.Message.AppendReply;
import io.jacinthquay.consensus.raft.Message.AppendRequest;
import io.jacinthquay.consensus.raft.Message.SnapshotChunk;
import io.jacinthquay.consensus.raft.Message.SnapshotReply;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;

/** Handles append requests and snapshot chunks from the leader of the current term. */
final class FollowerReplication {
  private final RaftState state;
  private SnapshotMeta incoming = SnapshotMeta.NONE;
  private long nextOffset;

  FollowerReplication(RaftState state) {
    this.state = state;
  }

  void receive(AppendRequest request) {
    if (state.installing) {
      return;
    }
    if (request.prevIndex() < state.log.firstIndex() - 1) {
      reply(request, Math.min(state.commitIndex, state.stableIndex));
    } else if (!state.log.matches(request.prevIndex(), request.prevTerm())) {
      reject(request);
    } else {
      accept(request);
    }
  }

  private void accept(AppendRequest request) {
    for (Entry entry : request.entries()) {
      storeEntry(entry);
    }
    long last = request.prevIndex() + request.entries().size();
    state.commitTo(Math.min(request.commitIndex(), last));
    if (request.entries().isEmpty()) {
      reply(request, Math.min(last, state.stableIndex));
    } else {
      state.outbox.sendAfterPersist(acceptance(request, last));
    }
  }

  private void storeEntry(Entry entry) {
    if (entry.index() <= state.log.lastIndex()) {
      if (!state.rules.conflicts(state.log.term(entry.index()), entry.term())) {
        return;
      }
      if (entry.index() <= state.commitIndex && state.rules.protectsCommittedEntries()) {
        throw new IllegalStateException("leader would overwrite committed entry " + entry.index());
      }
      state.truncateFrom(entry.index());
    }
    state.append(entry);
  }

  private void reject(AppendRequest request) {
    long hint = state.log.lastIndexWithTermAtMost(request.prevIndex(), request.prevTerm());
    state.outbox.send(
        new AppendReply(
            state.self,
            request.from(),
            state.term,
            false,
            request.prevIndex(),
            hint,
            state.log.term(hint),
            request.round()));
  }

  private void reply(AppendRequest request, long index) {
    state.outbox.send(acceptance(request, index));
  }

  private AppendReply acceptance(AppendRequest request, long index) {
    return new AppendReply(
        state.self, request.from(), state.term, true, index, 0, 0, request.round());
  }

  void receive(SnapshotChunk chunk) {
    if (state.installing) {
      return;
    }
    SnapshotMeta meta = chunk.meta();
    if (state.log.matches(meta.index(), meta.term())) {
      state.commitTo(meta.index());
    }
    if (meta.index() <= state.commitIndex) {
      confirmCoveredSnapshot(chunk);
      return;
    }
    if (chunk.offset() == 0) {
      incoming = meta;
      nextOffset = 0;
    }
    if (meta.equals(incoming) && chunk.offset() == nextOffset) {
      state.outbox.addSnapshotWrite(
          new SnapshotWrite(meta, chunk.offset(), chunk.data(), chunk.last()));
      nextOffset += chunk.data().length;
      state.installing = chunk.last();
    } else if (!meta.equals(incoming)) {
      incoming = meta;
      nextOffset = 0;
    }
    if (!state.installing) {
      reply(chunk, false);
    }
  }

  /** Confirms a snapshot that the log already covers, once the covered entries are durable. */
  private void confirmCoveredSnapshot(SnapshotChunk chunk) {
    if (chunk.meta().index() <= state.stableIndex) {
      reply(chunk, true);
    }
  }

  private void reply(SnapshotChunk chunk, boolean installed) {
    state.outbox.send(
        new SnapshotReply(
            state.self, chunk.from(), state.term, chunk.meta().index(), nextOffset, installed));
  }

  /** Handles the report that the snapshot is durable and the stored log starts after it. */
  void onSnapshotInstalled(SnapshotMeta meta) {
    state.installing = false;
    incoming = SnapshotMeta.NONE;
    state.log.reset(meta.index(), meta.term());
    state.history.reset(meta);
    state.snapshot = meta;
    state.commitIndex = meta.index();
    state.deliveredIndex = meta.index();
    state.stableIndex = meta.index();
    state.storedIndex = meta.index();
    state.outbox.requestRestore(meta);
    state.leader.ifPresent(
        leader ->
            state.outbox.send(
                new SnapshotReply(state.self, leader, state.term, meta.index(), 0, true)));
  }

  /** Discards a received snapshot that was damaged; its transfer restarts from the first byte. */
  void onInstallFailed() {
    state.installing = false;
    incoming = SnapshotMeta.NONE;
    nextOffset = 0;
  }
}
