package io.jacinthquay.consensus.raft;

/** Common bugs of Raft implementations, injected to check that the oracle detects them. */
enum Fault {
  NONE,
  COMMIT_EARLIER_TERM_BY_COUNTING {
    @Override
    SafetyRules rules() {
      return new SafetyRules() {
        @Override
        boolean countsTowardCommit(long entryTerm, long currentTerm) {
          return true;
        }
      };
    }
  },
  FORGET_VOTE_OVER_RESTART,
  ACKNOWLEDGE_BEFORE_SYNC,
  VOTE_WITHOUT_LOG_CHECK {
    @Override
    SafetyRules rules() {
      return new SafetyRules() {
        @Override
        boolean isUpToDate(long candidateTerm, long candidateIndex, long ownTerm, long ownIndex) {
          return true;
        }
      };
    }
  },
  TRUNCATE_ON_STALE_APPEND {
    @Override
    SafetyRules rules() {
      return new SafetyRules() {
        @Override
        boolean conflicts(long ownTerm, long leaderTerm) {
          return true;
        }

        @Override
        boolean protectsCommittedEntries() {
          return false;
        }
      };
    }
  },
  WIPED_DISK_KEEPS_IDENTITY,
  READ_WITHOUT_QUORUM {
    @Override
    SafetyRules rules() {
      return new SafetyRules() {
        @Override
        boolean readRequiresQuorum() {
          return false;
        }
      };
    }
  };

  SafetyRules rules() {
    return SafetyRules.STANDARD;
  }
}
