package io.jacinthquay.keeper.state;

import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.wire.gen.SealedWindow;
import io.jacinthquay.wire.gen.UsageCounter;
import io.jacinthquay.wire.gen.UsageLine;
import io.vavr.Tuple2;
import io.vavr.collection.TreeMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Usage counters and sealed windows of one customer shard.
 *
 * @param pending counters with amounts that no sealed window includes yet
 * @param settled counters whose amounts are all included in sealed windows
 * @param windows sealed windows by start, in milliseconds since the epoch
 */
record UsageShard(
    TreeMap<CounterKey, Counter> pending,
    TreeMap<CounterKey, Counter> settled,
    TreeMap<Long, SealedWindow> windows) {
  /**
   * How far a counter's window may start before the newest sealed window for the counter to be
   * accepted and retained, in milliseconds.
   */
  static final long RETENTION_MILLIS = 24 * 3_600_000L;

  /** Number of windows above which the oldest are evicted, if they are reported. */
  static final int MAX_REPORTED_WINDOWS = 1_440;

  static final UsageShard EMPTY = new UsageShard(TreeMap.empty(), TreeMap.empty(), TreeMap.empty());

  /** Returns the start of the newest sealed window, or -1 if there is none. */
  long newestSealed() {
    return windows.isEmpty() ? -1 : windows.last()._1();
  }

  /** Returns whether a counter is recent enough to be merged. */
  boolean accepts(UsageCounter counter) {
    return counter.getWindowStartMillis() >= newestSealed() - RETENTION_MILLIS;
  }

  /** Returns this shard with the larger of the stored and the shipped amounts of a counter. */
  UsageShard merge(UsageCounter shipped) {
    CounterKey key = CounterKey.of(shipped);
    Counter before =
        pending
            .get(key)
            .orElse(() -> settled.get(key))
            .getOrElse(new Counter(UsageAmount.ZERO, UsageAmount.ZERO));
    Counter after = new Counter(before.counted().max(UsageAmount.of(shipped)), before.sealed());
    if (after.equals(before)) {
      return this;
    }
    return new UsageShard(pending.put(key, after), settled.remove(key), windows);
  }

  /** Seals the window at {@code start}, with all amounts up to it that no window includes yet. */
  UsageShard seal(int shard, long start) {
    TreeMap<UsageLineKey, UsageAmount> lines = TreeMap.empty();
    TreeMap<CounterKey, Counter> nextPending = pending;
    TreeMap<CounterKey, Counter> nextSettled = settled;
    for (Tuple2<CounterKey, Counter> entry : pending) {
      CounterKey key = entry._1();
      if (key.windowMillis() > start) {
        break;
      }
      Counter counter = entry._2();
      lines = lines.put(UsageLineKey.of(key), counter.unsealed(), UsageAmount::plus);
      nextPending = nextPending.remove(key);
      nextSettled = nextSettled.put(key, new Counter(counter.counted(), counter.counted()));
    }
    SealedWindow window = new SealedWindow(shard, start, toMessages(lines), false);
    return new UsageShard(nextPending, evictBefore(nextSettled, start), windows.put(start, window));
  }

  private static TreeMap<CounterKey, Counter> evictBefore(
      TreeMap<CounterKey, Counter> settled, long sealedStartMillis) {
    TreeMap<CounterKey, Counter> next = settled;
    while (!next.isEmpty()
        && next.head()._1().windowMillis() < sealedStartMillis - RETENTION_MILLIS) {
      next = next.remove(next.head()._1());
    }
    return next;
  }

  private static List<UsageLine> toMessages(TreeMap<UsageLineKey, UsageAmount> lines) {
    List<UsageLine> messages = new ArrayList<>();
    lines.forEach(
        (key, amount) ->
            messages.add(
                new UsageLine(
                    key.customer(),
                    key.model(),
                    amount.requests(),
                    amount.inputTokens(),
                    amount.outputTokens(),
                    key.occurredMillis())));
    return messages;
  }

  UsageShard markReported(long start) {
    SealedWindow reported = new SealedWindow(windows.get(start).get()).setReported(true);
    TreeMap<Long, SealedWindow> next = windows.put(start, reported);
    while (next.size() > MAX_REPORTED_WINDOWS && next.head()._2().isReported()) {
      next = next.remove(next.head()._1());
    }
    return new UsageShard(pending, settled, next);
  }

  UsageShard withRestored(CounterKey key, Counter counter) {
    return counter.isSettled()
        ? new UsageShard(pending, settled.put(key, counter), windows)
        : new UsageShard(pending.put(key, counter), settled, windows);
  }

  UsageShard withRestored(SealedWindow window) {
    return new UsageShard(pending, settled, windows.put(window.getWindowStartMillis(), window));
  }

  /** Returns the earliest time at which a window may be sealed, in milliseconds since the epoch. */
  static long earliestSealMillis(long start, long watermarkMillis) {
    return start + UsageWindow.LENGTH_MILLIS + watermarkMillis;
  }
}
