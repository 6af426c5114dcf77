package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Entries that wait to be applied, by index. An entry that stands in the log may be committed by a
 * later leader even after this replica dropped it, so only an applied entry settles its answer.
 */
final class PendingCommands {
  private static final byte[] NO_RESULT = new byte[0];

  private record Pending(long term, Answer<?> answer) {}

  private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

  synchronized void add(Entry entry, Answer<?> answer) {
    Pending replaced = byIndex.put(entry.index(), new Pending(entry.term(), answer));
    if (replaced != null) {
      replaced.answer().fail(unknown("leadership was lost"));
    }
  }

  /** Settles the answer for an applied entry. */
  void applied(Entry entry, byte[] result) {
    Pending pending = take(entry.index());
    if (pending == null) {
      return;
    }
    if (pending.term() == entry.term()) {
      pending.answer().succeed(entry.index(), result == null ? NO_RESULT : result);
    } else {
      String detail = "another leader's entry took the place of the command";
      pending.answer().fail(LogFailure.of(LogError.NOT_LEADER, detail));
    }
  }

  private synchronized Pending take(long index) {
    return byIndex.remove(index);
  }

  /** Gives up on entries that a restored snapshot covers. */
  void covered(long index) {
    failAll(takeTo(index), "a snapshot covers the command");
  }

  private synchronized List<Pending> takeTo(long index) {
    Map<Long, Pending> head = byIndex.headMap(index, true);
    List<Pending> taken = new ArrayList<>(head.values());
    head.clear();
    return taken;
  }

  /** Gives up on entries whose answer is due. */
  void expire(long now) {
    failAll(takeDue(now), "not committed in time");
  }

  private synchronized List<Pending> takeDue(long now) {
    List<Pending> taken = new ArrayList<>();
    while (!byIndex.isEmpty() && byIndex.firstEntry().getValue().answer().isDue(now)) {
      taken.add(byIndex.pollFirstEntry().getValue());
    }
    return taken;
  }

  /** Gives up on everything. */
  void failAll(String detail) {
    failAll(takeTo(Long.MAX_VALUE), detail);
  }

  private static void failAll(List<Pending> pending, String detail) {
    pending.forEach(p -> p.answer().fail(unknown(detail)));
  }

  private static LogFailure unknown(String detail) {
    return LogFailure.of(LogError.OUTCOME_UNKNOWN, detail);
  }

  synchronized int size() {
    return byIndex.size();
  }
}
