package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Proposed commands that have not been applied yet, by log index. A later leader may commit an
 * entry even after this replica removed it from its log, so the outcome of a command is known only
 * when the entry at its index is applied.
 */
final class PendingCommands {
  private static final byte[] NO_RESULT = new byte[0];

  private record Pending(long term, PendingResult<?> result) {}

  private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

  synchronized void add(Entry entry, PendingResult<?> result) {
    Pending replaced = byIndex.put(entry.index(), new Pending(entry.term(), result));
    if (replaced != null) {
      replaced
          .result()
          .fail(outcomeUnknown("this replica lost leadership before the command was committed"));
    }
  }

  /** Completes the command at the index of an applied entry. */
  void complete(Entry entry, byte[] result) {
    Pending pending = remove(entry.index());
    if (pending == null) {
      return;
    }
    if (pending.term() == entry.term()) {
      pending.result().succeed(entry.index(), result == null ? NO_RESULT : result);
    } else {
      String detail = "the entry of another leader replaced the command";
      pending.result().fail(LogFailure.of(LogError.NOT_LEADER, detail));
    }
  }

  private synchronized Pending remove(long index) {
    return byIndex.remove(index);
  }

  /** Fails commands that a restored snapshot covers, as their outcome is unknown. */
  void failUpTo(long index) {
    failAll(removeUpTo(index), "a snapshot that was restored covers the command");
  }

  private synchronized List<Pending> removeUpTo(long index) {
    Map<Long, Pending> covered = byIndex.headMap(index, true);
    List<Pending> removed = new ArrayList<>(covered.values());
    covered.clear();
    return removed;
  }

  /** Fails commands whose deadline has passed, as their outcome is unknown. */
  void expire(long now) {
    failAll(removeExpired(now), "the command was not committed within the proposal timeout");
  }

  private synchronized List<Pending> removeExpired(long now) {
    List<Pending> removed = new ArrayList<>();
    while (!byIndex.isEmpty() && byIndex.firstEntry().getValue().result().isExpired(now)) {
      removed.add(byIndex.pollFirstEntry().getValue());
    }
    return removed;
  }

  /** Fails all commands, as their outcome is unknown. */
  void failAll(String detail) {
    failAll(removeUpTo(Long.MAX_VALUE), detail);
  }

  private static void failAll(List<Pending> pending, String detail) {
    pending.forEach(p -> p.result().fail(outcomeUnknown(detail)));
  }

  private static LogFailure outcomeUnknown(String detail) {
    return LogFailure.of(LogError.OUTCOME_UNKNOWN, detail);
  }

  synchronized int size() {
    return byIndex.size();
  }
}
