package io.jacinthquay.consensus.raft;

import java.util.ArrayDeque;

/** The leader's view of the replication progress of one peer, with flow control. */
final class Progress {
  private enum Mode {
    PROBE,
    REPLICATE,
    SNAPSHOT
  }

  private final int maxInflight;
  private final ArrayDeque<Long> inflight = new ArrayDeque<>();
  private Mode mode = Mode.PROBE;
  private boolean probeSent;
  private long matchIndex;
  private long nextIndex;
  private long ackedRound;
  private long lastContact;
  private SnapshotMeta snapshot = SnapshotMeta.NONE;
  private long snapshotOffset;
  private long snapshotSentAt;

  Progress(long nextIndex, int maxInflight, long now) {
    this.nextIndex = nextIndex;
    this.maxInflight = maxInflight;
    this.lastContact = now;
  }

  long matchIndex() {
    return matchIndex;
  }

  long nextIndex() {
    return nextIndex;
  }

  long ackedRound() {
    return ackedRound;
  }

  long lastContact() {
    return lastContact;
  }

  boolean isInstallingSnapshot() {
    return mode == Mode.SNAPSHOT;
  }

  SnapshotMeta snapshot() {
    return snapshot;
  }

  long snapshotOffset() {
    return snapshotOffset;
  }

  long snapshotSentAt() {
    return snapshotSentAt;
  }

  /** Returns whether another append request may be sent now. */
  boolean mayAppend() {
    return switch (mode) {
      case PROBE -> !probeSent;
      case REPLICATE -> inflight.size() < maxInflight;
      case SNAPSHOT -> false;
    };
  }

  /** Records a reply of the peer and the highest read round that it acknowledged. */
  void recordContact(long now, long round) {
    lastContact = now;
    ackedRound = Math.max(ackedRound, round);
  }

  /** Records an append request that ends at the given index. */
  void recordSent(long lastIndex) {
    if (mode == Mode.REPLICATE) {
      nextIndex = lastIndex + 1;
      inflight.addLast(lastIndex);
    } else {
      probeSent = true;
    }
  }

  /** Allows another probe, since the previous one or its reply may be lost. */
  void allowProbe() {
    probeSent = false;
  }

  /**
   * Records that the peer's log matches up to {@code index}; {@code firstIndex} is the lowest index
   * that the leader's log holds.
   */
  void recordAccepted(long index, long firstIndex) {
    matchIndex = Math.max(matchIndex, index);
    while (!inflight.isEmpty() && inflight.peekFirst() <= index) {
      inflight.removeFirst();
    }
    if (mode == Mode.REPLICATE) {
      nextIndex = Math.max(nextIndex, matchIndex + 1);
    } else if (mode == Mode.PROBE || matchIndex + 1 >= firstIndex) {
      mode = Mode.REPLICATE;
      nextIndex = matchIndex + 1;
    }
  }

  /** Falls back to probing after a rejection; returns false if the rejection is stale. */
  boolean recordRejection(long rejectedPrevIndex, long likelyMatchIndex) {
    boolean stale =
        mode == Mode.SNAPSHOT
            || rejectedPrevIndex <= matchIndex
            || (mode == Mode.PROBE && rejectedPrevIndex != nextIndex - 1);
    if (stale) {
      return false;
    }
    mode = Mode.PROBE;
    inflight.clear();
    probeSent = false;
    nextIndex = Math.max(matchIndex + 1, Math.min(rejectedPrevIndex, likelyMatchIndex + 1));
    return true;
  }

  void startSnapshot(SnapshotMeta meta) {
    mode = Mode.SNAPSHOT;
    inflight.clear();
    snapshot = meta;
    snapshotOffset = 0;
  }

  void continueSnapshot(long offset) {
    snapshotOffset = offset;
  }

  void recordSnapshotSent(long now) {
    snapshotSentAt = now;
  }
}
