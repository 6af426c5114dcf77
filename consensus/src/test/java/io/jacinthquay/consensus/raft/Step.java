package io.jacinthquay.consensus.raft;

/** One event of a history; {@code target} and {@code amount} are read modulo what exists. */
record Step(Kind kind, int target, int amount) {
  enum Kind {
    PROPOSE,
    READ,
    RUN,
    CRASH,
    RESTART,
    WIPE,
    CUT,
    CUT_OUTGOING,
    HEAL,
    PAUSE,
    CLOCK_RATE,
    DISK_FAILURE,
    ADD_MEMBER,
    REMOVE_MEMBER,
    HAND_OVER
  }
}
