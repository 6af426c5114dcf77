package io.jacinthquay.consensus.raft;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A step of a history; {@code target} and {@code amount} are taken modulo the valid range. */
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
    TRANSFER_LEADERSHIP;

    /** The kinds, repeated by their weight: half of the steps are work or time between faults. */
    static final List<Kind> WEIGHTED = weighted();

    private static List<Kind> weighted() {
      List<Kind> kinds = new ArrayList<>(List.of(values()));
      kinds.addAll(Collections.nCopies(9, PROPOSE));
      kinds.addAll(Collections.nCopies(3, READ));
      kinds.addAll(Collections.nCopies(5, RUN));
      kinds.add(HEAL);
      kinds.add(RESTART);
      return kinds;
    }
  }
}
