package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.ChangeMessage;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.HistoryLine;
import io.jacinthquay.wire.gen.StoredChange;
import io.vavr.Tuple2;
import io.vavr.collection.TreeMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The newest changes for readers that follow, and the history for operators.
 *
 * @param changes changes that are kept whole, by version
 * @param bytes size of their edits in characters
 * @param lines history lines, by version
 */
record ChangeLog(
    TreeMap<Long, ChangeMessage> changes, long bytes, TreeMap<Long, HistoryLine> lines) {
  /** Changes that are kept whole; a reader further behind gets a snapshot. */
  static final int MOST_CHANGES = 4_096;

  /** Size of all changes kept whole, in characters. */
  static final long MOST_BYTES = 16 << 20;

  /** History lines that are kept. */
  static final int MOST_LINES = 20_000;

  static final ChangeLog EMPTY = new ChangeLog(TreeMap.empty(), 0, TreeMap.empty());

  ChangeLog with(ChangeMessage change, HistoryLine line) {
    TreeMap<Long, ChangeMessage> nextChanges = changes.put(change.getVersion(), change);
    long nextBytes = bytes + size(change);
    while (nextChanges.size() > MOST_CHANGES
        || (nextBytes > MOST_BYTES && nextChanges.size() > 1)) {
      Tuple2<Long, ChangeMessage> oldest = nextChanges.head();
      nextChanges = nextChanges.remove(oldest._1());
      nextBytes -= size(oldest._2());
    }
    return new ChangeLog(nextChanges, nextBytes, withLine(line));
  }

  /** Returns this log with an item of a snapshot. */
  ChangeLog restored(StoredChange stored) {
    TreeMap<Long, HistoryLine> nextLines = withLine(stored.getLine());
    if (!stored.isSetChange()) {
      return new ChangeLog(changes, bytes, nextLines);
    }
    ChangeMessage change = stored.getChange();
    return new ChangeLog(changes.put(change.getVersion(), change), bytes + size(change), nextLines);
  }

  private TreeMap<Long, HistoryLine> withLine(HistoryLine line) {
    TreeMap<Long, HistoryLine> next = lines.put(line.getVersion(), line);
    return next.size() > MOST_LINES ? next.remove(next.head()._1()) : next;
  }

  /** Returns the changes after a version, at most {@code limit}, or nothing if one is gone. */
  Optional<List<ChangeMessage>> after(long version, int limit) {
    if (!changes.containsKey(version + 1)) {
      return Optional.empty();
    }
    List<ChangeMessage> page = new ArrayList<>();
    for (long next = version + 1; page.size() < limit; next++) {
      Optional<ChangeMessage> change = changes.get(next).toJavaOptional();
      if (change.isEmpty()) {
        break;
      }
      page.add(change.get());
    }
    return Optional.of(page);
  }

  /** Returns the newest lines, newest first. */
  List<HistoryLine> newestLines(int limit) {
    return lines.values().takeRight(limit).reverse().asJava();
  }

  private static long size(ChangeMessage change) {
    long size = 0;
    for (EditMessage edit : change.getEdits()) {
      size += edit.getName().length() + (edit.isSetJson() ? edit.getJson().length() : 0);
    }
    return size;
  }
}
