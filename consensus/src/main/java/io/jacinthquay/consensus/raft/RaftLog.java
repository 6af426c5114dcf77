package io.jacinthquay.consensus.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The log entries held in memory. They follow a base entry, of which only index and term are known.
 */
final class RaftLog {
  private static final long UNKNOWN_TERM = -1;

  private final List<Entry> entries = new ArrayList<>();
  private long baseIndex;
  private long baseTerm;

  RaftLog(SnapshotMeta snapshot, List<Entry> recovered) {
    boolean endsBeforeSnapshot =
        recovered.isEmpty() || lastOf(recovered).index() < snapshot.index();
    if (endsBeforeSnapshot || recovered.get(0).index() == snapshot.index() + 1) {
      reset(snapshot.index(), snapshot.term());
    } else if (recovered.get(0).index() > 1) {
      reset(recovered.get(0).index(), recovered.get(0).term());
    }
    if (!endsBeforeSnapshot) {
      recovered.stream().filter(entry -> entry.index() > baseIndex).forEach(entries::add);
    }
  }

  private static Entry lastOf(List<Entry> nonEmpty) {
    return nonEmpty.get(nonEmpty.size() - 1);
  }

  /** Returns the lowest index whose entry is held. */
  long firstIndex() {
    return baseIndex + 1;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : lastOf(entries).term();
  }

  /** Returns the term of the entry at an index, or a negative number if it is unknown. */
  long term(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? UNKNOWN_TERM : entry(index).term();
  }

  boolean matches(long index, long term) {
    return term(index) == term;
  }

  Entry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  void append(Entry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException("entry " + entry.index() + " doesn't follow " + lastIndex());
    }
    entries.add(entry);
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
  }

  /**
   * Copies the entries from {@code from} to {@code to}, both inclusive, as far as they fit into
   * {@code maxBytes}. The first entry is copied even if it is larger.
   */
  List<Entry> slice(long from, long to, int maxBytes) {
    List<Entry> slice = new ArrayList<>();
    long bytes = 0;
    for (long index = from; index <= Math.min(to, lastIndex()); index++) {
      Entry entry = entry(index);
      bytes += entry.size();
      if (!slice.isEmpty() && bytes > maxBytes) {
        break;
      }
      slice.add(entry);
    }
    return slice;
  }

  /** Returns the highest index up to a bound whose term is at most the given one. */
  long lastIndexWithTermAtMost(long bound, long term) {
    long index = Math.min(bound, lastIndex());
    while (index > baseIndex && term(index) > term) {
      index--;
    }
    return index;
  }

  /**
   * Returns the lowest index, {@code bound} or higher, for which the entries after it up to {@code
   * to} fit into {@code maxBytes}.
   */
  long lowestIndexWithin(long bound, long to, long maxBytes) {
    long index = to;
    long bytes = 0;
    while (index > Math.max(bound, baseIndex) && bytes + entry(index).size() <= maxBytes) {
      bytes += entry(index).size();
      index--;
    }
    return index;
  }

  /** Drops the entries up to an index and keeps the term of the entry at that index. */
  void compactTo(long index) {
    if (index <= baseIndex) {
      return;
    }
    long term = term(index);
    entries.subList(0, (int) (index - baseIndex)).clear();
    baseIndex = index;
    baseTerm = term;
  }

  /** Drops all entries and restarts the log after the given index. */
  void reset(long index, long term) {
    entries.clear();
    baseIndex = index;
    baseTerm = term;
  }
}
