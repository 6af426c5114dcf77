package io.jacinthquay.consensus;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Reads that wait for the leader to confirm their read index. Used by the protocol thread only. */
final class PendingReads {
  private final Map<Long, PendingResult<Long>> byRequestId = new LinkedHashMap<>();
  private final Applier applier;

  PendingReads(Applier applier) {
    this.applier = applier;
  }

  void add(long requestId, PendingResult<Long> result) {
    byRequestId.put(requestId, result);
  }

  /** Handles the answer to a read: its read index, or empty if no leader confirmed it. */
  void confirmed(long requestId, Optional<Long> index) {
    PendingResult<Long> result = byRequestId.get(requestId);
    if (result == null) {
      return;
    }
    if (index.isPresent()) {
      applier.whenApplied(index.get(), result);
    } else {
      result.fail(LogFailure.of(LogError.NO_QUORUM, "no leader confirmed the read"));
    }
  }

  /** Fails reads whose deadline has passed and removes completed ones. */
  void expire(long now) {
    Iterator<PendingResult<Long>> results = byRequestId.values().iterator();
    while (results.hasNext()) {
      PendingResult<Long> result = results.next();
      if (result.isExpired(now)) {
        result.fail(
            LogFailure.of(
                LogError.NO_QUORUM, "the read was not confirmed within the proposal timeout"));
      }
      if (result.isDone()) {
        results.remove();
      }
    }
  }

  void failAll(LogFailure failure) {
    byRequestId.values().forEach(result -> result.fail(failure));
    byRequestId.clear();
  }
}
