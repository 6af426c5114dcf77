package io.jacinthquay.consensus;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Reads that wait for the leader's confirmation. Used by the log's own thread only. */
final class PendingReads {
  private final Map<Long, Answer<Long>> byId = new LinkedHashMap<>();
  private final Applier applier;

  PendingReads(Applier applier) {
    this.applier = applier;
  }

  void add(long id, Answer<Long> answer) {
    byId.put(id, answer);
  }

  void confirmed(long id, Optional<Long> index) {
    Answer<Long> answer = byId.get(id);
    if (answer == null) {
      return;
    }
    if (index.isPresent()) {
      applier.whenApplied(index.get(), answer);
    } else {
      answer.fail(LogFailure.of(LogError.NO_QUORUM, "no leader confirmed the read"));
    }
  }

  /** Fails reads whose answer is due and forgets settled ones. */
  void expire(long now) {
    Iterator<Answer<Long>> answers = byId.values().iterator();
    while (answers.hasNext()) {
      Answer<Long> answer = answers.next();
      if (answer.isDue(now)) {
        answer.fail(LogFailure.of(LogError.NO_QUORUM, "read was not confirmed in time"));
      }
      if (answer.isDone()) {
        answers.remove();
      }
    }
  }

  void failAll(LogFailure failure) {
    byId.values().forEach(answer -> answer.fail(failure));
    byId.clear();
  }
}
