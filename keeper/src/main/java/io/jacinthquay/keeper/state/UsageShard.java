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
 * The counters and sealed windows of one customer shard.
 *
 * @param pending counters with amounts that stand in no sealed window yet
 * @param settled counters whose amounts all stand in sealed windows
 * @param windows sealed windows by start
 */
record UsageShard(
    TreeMap<CounterKey, Counter> pending,
    TreeMap<CounterKey, Counter> settled,
    TreeMap<Long, SealedWindow> windows) {
  /** How long after its window a counter is still taken, in milliseconds. */
  static final long RETENTION_MILLIS = 24 * 3_600_000L;

  /** Reported windows that are kept. */
  static final int MOST_REPORTED = 1_440;

  static final UsageShard EMPTY = new UsageShard(TreeMap.empty(), TreeMap.empty(), TreeMap.empty());

  /** Returns the start of the newest sealed window, or -1 if there is none. */
  long newestSealed() {
    return windows.isEmpty() ? -1 : windows.last()._1();
  }

  boolean takes(UsageCounter counter) {
    return counter.getWindowStartMillis() >= newestSealed() - RETENTION_MILLIS;
  }

  UsageShard merge(UsageCounter shipped) {
    CounterKey key = CounterKey.of(shipped);
    Counter before =
        pending
            .get(key)
            .orElse(() -> settled.get(key))
            .getOrElse(new Counter(Amount.NONE, Amount.NONE));
    Counter after = new Counter(before.counted().max(Amount.of(shipped)), before.sealed());
    if (after.equals(before)) {
      return this;
    }
    return new UsageShard(pending.put(key, after), settled.remove(key), windows);
  }

  /** Seals the window at {@code start}: all amounts up to it that stand in no window yet. */
  UsageShard seal(int shard, long start) {
    TreeMap<LineKey, Amount> lines = TreeMap.empty();
    TreeMap<CounterKey, Counter> nextPending = pending;
    TreeMap<CounterKey, Counter> nextSettled = settled;
    for (Tuple2<CounterKey, Counter> entry : pending) {
      CounterKey key = entry._1();
      if (key.windowMillis() > start) {
        break;
      }
      Counter counter = entry._2();
      lines = lines.put(LineKey.of(key), counter.unsealed(), Amount::plus);
      nextPending = nextPending.remove(key);
      nextSettled = nextSettled.put(key, new Counter(counter.counted(), counter.counted()));
    }
    SealedWindow window = new SealedWindow(shard, start, toMessages(lines), false);
    return new UsageShard(nextPending, forget(nextSettled, start), windows.put(start, window));
  }

  private static TreeMap<CounterKey, Counter> forget(
      TreeMap<CounterKey, Counter> settled, long sealedStart) {
    TreeMap<CounterKey, Counter> next = settled;
    while (!next.isEmpty() && next.head()._1().windowMillis() < sealedStart - RETENTION_MILLIS) {
      next = next.remove(next.head()._1());
    }
    return next;
  }

  private static List<UsageLine> toMessages(TreeMap<LineKey, Amount> lines) {
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
    while (next.size() > MOST_REPORTED && next.head()._2().isReported()) {
      next = next.remove(next.head()._1());
    }
    return new UsageShard(pending, settled, next);
  }

  UsageShard restored(CounterKey key, Counter counter) {
    return counter.isSettled()
        ? new UsageShard(pending, settled.put(key, counter), windows)
        : new UsageShard(pending.put(key, counter), settled, windows);
  }

  UsageShard restored(SealedWindow window) {
    return new UsageShard(pending, settled, windows.put(window.getWindowStartMillis(), window));
  }

  /** Returns the earliest end at which a window may be sealed. */
  static long sealableFrom(long start, long watermarkMillis) {
    return start + UsageWindow.LENGTH_MILLIS + watermarkMillis;
  }
}
