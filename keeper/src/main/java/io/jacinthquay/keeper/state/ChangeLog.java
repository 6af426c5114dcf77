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
 * The most recent changes, for readers that poll, and the history, for operators.
 *
 * @param changes complete changes, by version
 * @param editChars total size of their edits in characters
 * @param lines history lines, by version
 */
record ChangeLog(
    TreeMap<Long, ChangeMessage> changes, long editChars, TreeMap<Long, HistoryLine> lines) {
  /** Maximum number of complete changes; a reader that is further behind gets a snapshot. */
  static final int MAX_CHANGES = 4_096;

  /** Maximum total size of the complete changes, in characters. */
  static final long MAX_EDIT_CHARS = 16 << 20;

  /** Maximum number of history lines; the oldest are evicted first. */
  static final int MAX_LINES = 20_000;

  static final ChangeLog EMPTY = new ChangeLog(TreeMap.empty(), 0, TreeMap.empty());

  ChangeLog with(ChangeMessage change, HistoryLine line) {
    TreeMap<Long, ChangeMessage> nextChanges = changes.put(change.getVersion(), change);
    long nextChars = editChars + size(change);
    while (nextChanges.size() > MAX_CHANGES
        || (nextChars > MAX_EDIT_CHARS && nextChanges.size() > 1)) {
      Tuple2<Long, ChangeMessage> oldest = nextChanges.head();
      nextChanges = nextChanges.remove(oldest._1());
      nextChars -= size(oldest._2());
    }
    return new ChangeLog(nextChanges, nextChars, withLine(line));
  }

  /** Returns this log with an item of a snapshot added. */
  ChangeLog withRestored(StoredChange stored) {
    TreeMap<Long, HistoryLine> nextLines = withLine(stored.getLine());
    if (!stored.isSetChange()) {
      return new ChangeLog(changes, editChars, nextLines);
    }
    ChangeMessage change = stored.getChange();
    return new ChangeLog(
        changes.put(change.getVersion(), change), editChars + size(change), nextLines);
  }

  private TreeMap<Long, HistoryLine> withLine(HistoryLine line) {
    TreeMap<Long, HistoryLine> next = lines.put(line.getVersion(), line);
    return next.size() > MAX_LINES ? next.remove(next.head()._1()) : next;
  }

  /**
   * Returns at most {@code limit} changes after a version, or empty if the next one is not in the
   * log.
   */
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

  /** Returns the most recent history lines, newest first. */
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
