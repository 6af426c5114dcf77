package io.jacinthquay.router.service.report;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.router.port.UsageCount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Cumulative usage of this router incarnation by customer, model and window.
 *
 * <p>Guarded by its own lock, which is a leaf in the lock order.
 */
public final class UsageCounters implements RequestReporter {
  /**
   * Number of windows that are kept after their last change, so that a lost delivery can be
   * repeated.
   */
  private static final int KEPT_WINDOWS = 4;

  private final String incarnation;
  private final long windowMillis;
  private final LongSupplier clock;
  private final Map<Key, Totals> totals = new HashMap<>();

  /**
   * Returns empty counters.
   *
   * @param incarnation id of one run of one router
   * @param windowMillis length of a window, in milliseconds
   * @param clock wall clock, in milliseconds since the epoch
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
    boolean succeeded = entry.code().isEmpty() && entry.firstByteNanos() >= 0;
    if (entry.customer().isEmpty() || !(succeeded || entry.outputTokens() > 0)) {
      return;
    }
    long windowStart = Math.floorDiv(clock.getAsLong(), windowMillis) * windowMillis;
    Key key = new Key(entry.customer().get(), entry.target(), windowStart);
    synchronized (this) {
      Totals total = totals.computeIfAbsent(key, k -> new Totals());
      total.requests++;
      total.inputTokens += entry.inputTokens();
      total.outputTokens += entry.outputTokens();
      total.changed = true;
      total.copied = false;
    }
  }

  /** Returns the counters that changed since they were last delivered. */
  public synchronized List<UsageCount> undelivered() {
    List<UsageCount> counts = new ArrayList<>();
    totals.forEach(
        (key, total) -> {
          if (total.changed) {
            counts.add(count(key, total));
          }
        });
    return counts;
  }

  /** Returns the counters that changed since the last call and marks them as copied. */
  public synchronized List<UsageCount> takeUncopied() {
    List<UsageCount> counts = new ArrayList<>();
    totals.forEach(
        (key, total) -> {
          if (!total.copied) {
            total.copied = true;
            counts.add(count(key, total));
          }
        });
    return counts;
  }

  private UsageCount count(Key key, Totals total) {
    return new UsageCount(
        incarnation,
        key.customer(),
        key.model(),
        key.windowStartMillis(),
        total.requests,
        total.inputTokens,
        total.outputTokens);
  }

  /** Marks counters as delivered and removes those of old windows. */
  public synchronized void markDelivered(List<UsageCount> counts) {
    for (UsageCount count : counts) {
      Key key = new Key(count.customer(), count.model(), count.windowStartMillis());
      Totals total = totals.get(key);
      if (total != null && total.requests == count.requests()) {
        total.changed = false;
      }
    }
    long oldestStart = clock.getAsLong() - KEPT_WINDOWS * windowMillis;
    totals
        .entrySet()
        .removeIf(
            entry -> !entry.getValue().changed && entry.getKey().windowStartMillis() < oldestStart);
  }
}
