package io.jacinthquay.router.service.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One simulated event.
 *
 * @param kind kind of event
 * @param pick selects the target of the event, modulo the number of candidates
 * @param detail selects a variant of the event, modulo the number of variants
 */
record ForwardStep(Kind kind, int pick, int detail) {
  static final int MAX_NUMBER = 63;

  enum Kind {
    ARRIVE(5),
    TIMER(6),
    TASK(3),
    OPEN(7),
    UNREACHABLE(3),
    SUCCESS(4),
    FAILURE(3),
    UNPROVEN(3),
    PROOF(4),
    SPOILT(1),
    DATA(4),
    END(4),
    BREAK(3),
    MISMATCH(1),
    NO_MEMORY(1),
    LEAVE(2),
    BREAK_AT_WRITE(1),
    UPSTREAMS(2),
    DOCUMENT(1),
    LOADS(2),
    CLOSED_DOMAINS(1),
    PAUSE_PROCESS(3),
    LINK(2);

    /** Each kind, repeated by its weight in random histories. */
    static final List<Kind> WEIGHTED = weighted();

    private final int weight;

    Kind(int weight) {
      this.weight = weight;
    }

    private static List<Kind> weighted() {
      List<Kind> kinds = new ArrayList<>();
      for (Kind kind : values()) {
        kinds.addAll(Collections.nCopies(kind.weight, kind));
      }
      return kinds;
    }
  }

  static ForwardStep of(Kind kind, int pick, int detail) {
    return new ForwardStep(kind, pick, detail);
  }
}
