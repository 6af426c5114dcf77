package io.jacinthquay.consensus.raft;

import java.util.ArrayDeque;

/** What the leader knows about one peer, and its flow control. */
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

  boolean installing() {
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

  /** Tells whether another append request may be sent now. */
  boolean mayAppend() {
    return switch (mode) {
      case PROBE -> !probeSent;
      case REPLICATE -> inflight.size() < maxInflight;
      case SNAPSHOT -> false;
    };
  }

  void contacted(long now, long round) {
    lastContact = now;
    ackedRound = Math.max(ackedRound, round);
  }

  void sent(long lastIndex) {
    if (mode == Mode.REPLICATE) {
      nextIndex = lastIndex + 1;
      inflight.addLast(lastIndex);
    } else {
      probeSent = true;
    }
  }

  /** Allows another probe, since the last one or its answer may be lost. */
  void retryProbe() {
    probeSent = false;
  }

  /**
   * Takes a positive answer; {@code firstIndex} is the lowest index that the leader's log holds.
   */
  void accepted(long index, long firstIndex) {
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

  /** Takes a refusal and tells whether it is news. */
  boolean refused(long refusedPrevIndex, long agreementGuess) {
    boolean stale =
        mode == Mode.SNAPSHOT
            || refusedPrevIndex <= matchIndex
            || (mode == Mode.PROBE && refusedPrevIndex != nextIndex - 1);
    if (stale) {
      return false;
    }
    mode = Mode.PROBE;
    inflight.clear();
    probeSent = false;
    nextIndex = Math.max(matchIndex + 1, Math.min(refusedPrevIndex, agreementGuess + 1));
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

  void snapshotSent(long now) {
    snapshotSentAt = now;
  }
}
