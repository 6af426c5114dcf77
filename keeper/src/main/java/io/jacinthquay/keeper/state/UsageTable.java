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
 * @param shards customer shards by number
 */
public record UsageTable(TreeMap<Integer, UsageShard> shards) {
  /** How long after its end a window stays open for counters in transit, in milliseconds. */
  public static final long WATERMARK_MILLIS = 10_000;

  static final UsageTable EMPTY = new UsageTable(TreeMap.empty());

  UsageShard shard(int number) {
    return shards.getOrElse(number, UsageShard.EMPTY);
  }

  /** Merges all counters of a shipment, or none if one is malformed or too old. */
  TableUpdate<UsageTable> ship(ShipUsageCommand command) {
    TreeMap<Integer, UsageShard> next = shards;
    for (UsageCounter counter : command.getCounters()) {
      if (!isValid(counter)) {
        return new TableUpdate<>(
            this, CommandAnswers.failure(ResultCode.BAD_REQUEST, "malformed counter: " + counter));
      }
      int number = UsageWindow.shardOf(counter.getCustomer());
      UsageShard shard = next.getOrElse(number, UsageShard.EMPTY);
      if (!shard.accepts(counter)) {
        return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.WINDOW_SEALED));
      }
      next = next.put(number, shard.merge(counter));
    }
    return new TableUpdate<>(new UsageTable(next), CommandAnswers.done());
  }

  private static boolean isValid(UsageCounter counter) {
    boolean complete =
        counter.isSetCustomer() && counter.isSetModel() && counter.isSetIncarnation();
    return complete
        && isWindow(counter.getWindowStartMillis())
        && !UsageAmount.of(counter).isNegative();
  }

  private static boolean isWindow(long start) {
    return start >= 0 && start % UsageWindow.LENGTH_MILLIS == 0;
  }

  TableUpdate<UsageTable> seal(SealCommand command, boolean leaseHeld, StateClock clock) {
    long start = command.getWindowStartMillis();
    int number = command.getShard();
    UsageShard shard = shard(number);
    Optional<SealedWindow> earlier = shard.windows().get(start).toJavaOptional();
    if (earlier.isPresent()) {
      return new TableUpdate<>(this, CommandAnswer.window(earlier.get()));
    }
    if (!leaseHeld) {
      return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.LEASE_LOST));
    }
    if (number < 0 || number >= UsageWindow.SHARDS || !isWindow(start)) {
      return new TableUpdate<>(
          this, CommandAnswers.failure(ResultCode.BAD_REQUEST, "no such shard or window"));
    }
    if (start < shard.newestSealed()) {
      return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.WINDOW_SEALED));
    }
    if (clock.wallMillis() < UsageShard.earliestSealMillis(start, WATERMARK_MILLIS)) {
      return new TableUpdate<>(
          this, CommandAnswers.failure(ResultCode.BAD_REQUEST, "the window is still open"));
    }
    UsageShard sealed = shard.seal(number, start);
    SealedWindow window = sealed.windows().get(start).get();
    return new TableUpdate<>(
        new UsageTable(shards.put(number, sealed)), CommandAnswer.window(window));
  }

  TableUpdate<UsageTable> markReported(MarkReportedCommand command, boolean leaseHeld) {
    int number = command.getShard();
    UsageShard shard = shard(number);
    Optional<SealedWindow> window =
        shard.windows().get(command.getWindowStartMillis()).toJavaOptional();
    if (window.isEmpty()) {
      return new TableUpdate<>(
          this, CommandAnswers.failure(ResultCode.ENTITY_UNKNOWN, "no such window"));
    }
    if (window.get().isReported()) {
      return new TableUpdate<>(this, CommandAnswers.done());
    }
    if (!leaseHeld) {
      return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.LEASE_LOST));
    }
    UsageShard next = shard.markReported(command.getWindowStartMillis());
    return new TableUpdate<>(new UsageTable(shards.put(number, next)), CommandAnswers.done());
  }

  /**
   * Returns the sealed windows of a shard, oldest first.
   *
   * @param number the shard
   * @param unreportedOnly whether to omit the windows that were reported
   * @param limit maximum number of windows; the newest ones beyond it are omitted
   */
  public List<SealedWindow> windows(int number, boolean unreportedOnly, int limit) {
    return shard(number)
        .windows()
        .values()
        .filter(w -> !unreportedOnly || !w.isReported())
        .take(limit)
        .asJava();
  }

  /** Returns the amounts that no sealed window includes yet. */
  public List<UsageCounter> pending() {
    List<UsageCounter> counters = new ArrayList<>();
    for (UsageShard shard : shards.values()) {
      shard.pending().forEach((key, counter) -> counters.add(toMessage(key, counter.unsealed())));
    }
    return counters;
  }

  static UsageCounter toMessage(CounterKey key, UsageAmount amount) {
    return new UsageCounter(
        key.incarnation(),
        key.customer(),
        key.model(),
        key.windowMillis(),
        amount.requests(),
        amount.inputTokens(),
        amount.outputTokens());
  }

  UsageTable withRestored(CounterKey key, Counter counter) {
    int number = UsageWindow.shardOf(key.customer());
    return new UsageTable(shards.put(number, shard(number).withRestored(key, counter)));
  }

  UsageTable withRestored(SealedWindow window) {
    int number = window.getShard();
    return new UsageTable(shards.put(number, shard(number).withRestored(window)));
  }
}
