package io.jacinthquay.consensus.raft;

/** Classic mistakes of Raft implementations, planted to show that the oracle finds them. */
enum Fault {
  NONE,
  COMMIT_EARLIER_TERM_BY_COUNTING {
    @Override
    SafetyRules rules() {
      return new SafetyRules() {
        @Override
        boolean countsForCommit(long entryTerm, long currentTerm) {
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
        boolean upToDate(long candidateTerm, long candidateIndex, long ownTerm, long ownIndex) {
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
        boolean protectsCommitted() {
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
        boolean readNeedsQuorum() {
          return false;
        }
      };
    }
  };

  SafetyRules rules() {
    return SafetyRules.STANDARD;
  }
}
