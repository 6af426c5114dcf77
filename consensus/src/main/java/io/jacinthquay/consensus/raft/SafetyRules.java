package io.jacinthquay.consensus.raft;

/** The predicates on which the safety of the protocol rests, in one place. */
class SafetyRules {
  static final SafetyRules STANDARD = new SafetyRules();

  /** A leader counts replicas only for entries of its own term; earlier ones commit with them. */
  boolean countsForCommit(long entryTerm, long currentTerm) {
    return entryTerm == currentTerm;
  }

  /** A vote goes only to a candidate whose log is at least as new as the voter's. */
  boolean upToDate(long candidateTerm, long candidateIndex, long ownTerm, long ownIndex) {
    return candidateTerm > ownTerm || (candidateTerm == ownTerm && candidateIndex >= ownIndex);
  }

  /** An entry is replaced only if the leader has another one at its index. */
  boolean conflicts(long ownTerm, long leaderTerm) {
    return ownTerm != leaderTerm;
  }

  /** Committed entries are never replaced. */
  boolean protectsCommitted() {
    return true;
  }

  /** A leader answers a read only after a quorum has confirmed it in a later round. */
  boolean readNeedsQuorum() {
    return true;
  }
}
