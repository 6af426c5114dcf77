package io.jacinthquay.keeper.state;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.MarkReportedCommand;
import io.jacinthquay.wire.gen.SealCommand;
import io.jacinthquay.wire.gen.SealedWindow;
import io.jacinthquay.wire.gen.ShipUsageCommand;
import io.jacinthquay.wire.gen.UsageCounter;
import io.vavr.collection.TreeMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Usage counters and sealed windows of all customer shards.
 *
 * @param shards shards by number
 */
public record UsageTable(TreeMap<Integer, UsageShard> shards) {
  /** How long after its end a window stays open for counters on their way, in milliseconds. */
  public static final long WATERMARK_MILLIS = 10_000;

  static final UsageTable EMPTY = new UsageTable(TreeMap.empty());

  UsageShard shard(int number) {
    return shards.getOrElse(number, UsageShard.EMPTY);
  }

  /** Takes all counters of a shipment or none. */
  Step<UsageTable> ship(ShipUsageCommand command) {
    TreeMap<Integer, UsageShard> next = shards;
    for (UsageCounter counter : command.getCounters()) {
      if (!isValid(counter)) {
        return new Step<>(
            this, Answers.failure(ResultCode.BAD_REQUEST, "malformed counter: " + counter));
      }
      int number = UsageWindow.shardOf(counter.getCustomer());
      UsageShard shard = next.getOrElse(number, UsageShard.EMPTY);
      if (!shard.takes(counter)) {
        return new Step<>(this, Answers.failure(ResultCode.WINDOW_SEALED));
      }
      next = next.put(number, shard.merge(counter));
    }
    return new Step<>(new UsageTable(next), Answers.done());
  }

  private static boolean isValid(UsageCounter counter) {
    boolean named = counter.isSetCustomer() && counter.isSetModel() && counter.isSetIncarnation();
    return named && isWindow(counter.getWindowStartMillis()) && !Amount.of(counter).isNegative();
  }

  private static boolean isWindow(long start) {
    return start >= 0 && start % UsageWindow.LENGTH_MILLIS == 0;
  }

  Step<UsageTable> seal(SealCommand command, boolean leaseHeld, StateClock clock) {
    long start = command.getWindowStartMillis();
    int number = command.getShard();
    UsageShard shard = shard(number);
    Optional<SealedWindow> earlier = shard.windows().get(start).toJavaOptional();
    if (earlier.isPresent()) {
      return new Step<>(this, CommandAnswer.window(earlier.get()));
    }
    if (!leaseHeld) {
      return new Step<>(this, Answers.failure(ResultCode.LEASE_LOST));
    }
    if (number < 0 || number >= UsageWindow.SHARDS || !isWindow(start)) {
      return new Step<>(this, Answers.failure(ResultCode.BAD_REQUEST, "no such shard or window"));
    }
    if (start < shard.newestSealed()) {
      return new Step<>(this, Answers.failure(ResultCode.WINDOW_SEALED));
    }
    if (clock.wallMillis() < UsageShard.sealableFrom(start, WATERMARK_MILLIS)) {
      return new Step<>(this, Answers.failure(ResultCode.BAD_REQUEST, "the window is still open"));
    }
    UsageShard sealed = shard.seal(number, start);
    SealedWindow window = sealed.windows().get(start).get();
    return new Step<>(new UsageTable(shards.put(number, sealed)), CommandAnswer.window(window));
  }

  Step<UsageTable> markReported(MarkReportedCommand command, boolean leaseHeld) {
    int number = command.getShard();
    UsageShard shard = shard(number);
    Optional<SealedWindow> window =
        shard.windows().get(command.getWindowStartMillis()).toJavaOptional();
    if (window.isEmpty()) {
      return new Step<>(this, Answers.failure(ResultCode.ENTITY_UNKNOWN, "no such window"));
    }
    if (window.get().isReported()) {
      return new Step<>(this, Answers.done());
    }
    if (!leaseHeld) {
      return new Step<>(this, Answers.failure(ResultCode.LEASE_LOST));
    }
    UsageShard next = shard.markReported(command.getWindowStartMillis());
    return new Step<>(new UsageTable(shards.put(number, next)), Answers.done());
  }

  /**
   * Returns sealed windows of a shard, oldest first.
   *
   * @param number the shard
   * @param unreportedOnly whether to leave out those that were reported
   * @param limit most windows to return; the newest are left out
   */
  public List<SealedWindow> windows(int number, boolean unreportedOnly, int limit) {
    return shard(number)
        .windows()
        .values()
        .filter(w -> !unreportedOnly || !w.isReported())
        .take(limit)
        .asJava();
  }

  /** Returns counters with amounts that stand in no sealed window yet. */
  public List<UsageCounter> pending() {
    List<UsageCounter> counters = new ArrayList<>();
    for (UsageShard shard : shards.values()) {
      shard.pending().forEach((key, counter) -> counters.add(toMessage(key, counter.unsealed())));
    }
    return counters;
  }

  static UsageCounter toMessage(CounterKey key, Amount amount) {
    return new UsageCounter(
        key.incarnation(),
        key.customer(),
        key.model(),
        key.windowMillis(),
        amount.requests(),
        amount.inputTokens(),
        amount.outputTokens());
  }

  UsageTable restored(CounterKey key, Counter counter) {
    int number = UsageWindow.shardOf(key.customer());
    return new UsageTable(shards.put(number, shard(number).restored(key, counter)));
  }

  UsageTable restored(SealedWindow window) {
    int number = window.getShard();
    return new UsageTable(shards.put(number, shard(number).restored(window)));
  }
}
