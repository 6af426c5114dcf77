package io.jacinthquay.consensus.raft;

/** The predicates on which the safety of the protocol depends. Tests override them one by one. */
class SafetyRules {
  static final SafetyRules STANDARD = new SafetyRules();

  /**
   * Returns whether a leader commits an entry by counting replicas. This holds only for entries of
   * its own term; entries of earlier terms are committed with them.
   */
  boolean countsTowardCommit(long entryTerm, long currentTerm) {
    return entryTerm == currentTerm;
  }

  /** Returns whether a candidate's log is at least as up to date as the voter's. */
  boolean isUpToDate(long candidateTerm, long candidateIndex, long ownTerm, long ownIndex) {
    return candidateTerm > ownTerm || (candidateTerm == ownTerm && candidateIndex >= ownIndex);
  }

  /** Returns whether an entry conflicts with the one that the leader has at the same index. */
  boolean conflicts(long ownTerm, long leaderTerm) {
    return ownTerm != leaderTerm;
  }

  /** Returns whether committed entries are protected from replacement. */
  boolean protectsCommittedEntries() {
    return true;
  }

  /**
   * Returns whether a leader answers a read only after a quorum has confirmed it in a later round.
   */
  boolean readRequiresQuorum() {
    return true;
  }
}
