package io.jacinthquay.consensus.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The part of the log that is held in memory, behind a base entry of which only the term is known.
 */
final class RaftLog {
  private static final long UNKNOWN_TERM = -1;

  private final List<Entry> entries = new ArrayList<>();
  private long baseIndex;
  private long baseTerm;

  RaftLog(SnapshotMeta snapshot, List<Entry> recovered) {
    boolean behind = recovered.isEmpty() || lastOf(recovered).index() < snapshot.index();
    if (behind || recovered.get(0).index() == snapshot.index() + 1) {
      reset(snapshot.index(), snapshot.term());
    } else if (recovered.get(0).index() > 1) {
      reset(recovered.get(0).index(), recovered.get(0).term());
    }
    if (!behind) {
      recovered.stream().filter(entry -> entry.index() > baseIndex).forEach(entries::add);
    }
  }

  private static Entry lastOf(List<Entry> list) {
    return list.get(list.size() - 1);
  }

  /** Gives the lowest index whose entry is held. */
  long firstIndex() {
    return baseIndex + 1;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : lastOf(entries).term();
  }

  /** Gives the term at an index, or a negative number if it isn't known. */
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
      throw new IllegalStateException("gap at " + entry.index() + " after " + lastIndex());
    }
    entries.add(entry);
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
  }

  /** Copies entries from an index up to another or a size, at least one if there is one. */
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

  /** Finds the highest index up to a bound whose term is at most the given one. */
  long lastIndexWithTermAtMost(long bound, long term) {
    long index = Math.min(bound, lastIndex());
    while (index > baseIndex && term(index) > term) {
      index--;
    }
    return index;
  }

  /** Finds the lowest index from a bound on whose following entries up to another fit a size. */
  long lowestWithin(long bound, long to, long maxBytes) {
    long index = to;
    long bytes = 0;
    while (index > Math.max(bound, baseIndex) && bytes + entry(index).size() <= maxBytes) {
      bytes += entry(index).size();
      index--;
    }
    return index;
  }

  /** Forgets entries up to an index, whose term is kept. */
  void compactTo(long index) {
    if (index <= baseIndex) {
      return;
    }
    long term = term(index);
    entries.subList(0, (int) (index - baseIndex)).clear();
    baseIndex = index;
    baseTerm = term;
  }

  /** Forgets everything and starts behind the given entry. */
  void reset(long index, long term) {
    entries.clear();
    baseIndex = index;
    baseTerm = term;
  }
}
