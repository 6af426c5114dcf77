package io.jacinthquay.router.service.report;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.router.port.UsageCount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Cumulative usage of this incarnation by customer, model and window.
 *
 * <p>Guarded by its own lock, which is a leaf in the lock order.
 */
public final class UsageCounters implements RequestReporter {
  /** Windows that are kept after their last change, so that a lost delivery is made good. */
  private static final int KEPT_WINDOWS = 4;

  private final String incarnation;
  private final long windowMillis;
  private final LongSupplier clock;
  private final Map<Key, Totals> totals = new HashMap<>();

  /**
   * Returns empty counters.
   *
   * @param incarnation names one run of one router
   * @param windowMillis length of a window, in milliseconds
   * @param clock milliseconds since the epoch
   */
  public UsageCounters(String incarnation, long windowMillis, LongSupplier clock) {
    this.incarnation = incarnation;
    this.windowMillis = windowMillis;
    this.clock = clock;
  }

  private record Key(CustomerId customer, String model, long windowStartMillis) {}

  private static final class Totals {
    private long requests;
    private long inputTokens;
    private long outputTokens;
    private boolean changed;
    private boolean copied;
  }

  @Override
  public void report(RequestRecord entry) {
    boolean given = entry.code().isEmpty() && entry.firstByteNanos() >= 0;
    if (entry.customer().isEmpty() || !(given || entry.outputTokens() > 0)) {
      return;
    }
    long window = Math.floorDiv(clock.getAsLong(), windowMillis) * windowMillis;
    Key key = new Key(entry.customer().get(), entry.target(), window);
    synchronized (this) {
      Totals sum = totals.computeIfAbsent(key, k -> new Totals());
      sum.requests++;
      sum.inputTokens += entry.inputTokens();
      sum.outputTokens += entry.outputTokens();
      sum.changed = true;
      sum.copied = false;
    }
  }

  /** Returns the counters that changed since they were last delivered. */
  public synchronized List<UsageCount> changed() {
    List<UsageCount> counts = new ArrayList<>();
    totals.forEach(
        (key, sum) -> {
          if (sum.changed) {
            counts.add(count(key, sum));
          }
        });
    return counts;
  }

  /** Returns the counters that changed since this was last asked, for a copy elsewhere. */
  public synchronized List<UsageCount> uncopied() {
    List<UsageCount> counts = new ArrayList<>();
    totals.forEach(
        (key, sum) -> {
          if (!sum.copied) {
            sum.copied = true;
            counts.add(count(key, sum));
          }
        });
    return counts;
  }

  private UsageCount count(Key key, Totals sum) {
    return new UsageCount(
        incarnation,
        key.customer(),
        key.model(),
        key.windowStartMillis(),
        sum.requests,
        sum.inputTokens,
        sum.outputTokens);
  }

  /** Takes in that counters are safe; those of old windows are forgotten. */
  public synchronized void delivered(List<UsageCount> counts) {
    for (UsageCount count : counts) {
      Key key = new Key(count.customer(), count.model(), count.windowStartMillis());
      Totals sum = totals.get(key);
      if (sum != null && sum.requests == count.requests()) {
        sum.changed = false;
      }
    }
    long oldest = clock.getAsLong() - KEPT_WINDOWS * windowMillis;
    totals
        .entrySet()
        .removeIf(e -> !e.getValue().changed && e.getKey().windowStartMillis() < oldest);
  }
}
