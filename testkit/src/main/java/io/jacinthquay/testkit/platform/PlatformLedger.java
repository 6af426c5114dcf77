package io.jacinthquay.testkit.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The fake platform's record of orders and usage reports, and of what went wrong with them.
 *
 * <pre>{@code
 * LedgerAnswer answer = ledger.report("0/60000", 7, lines);
 * assert ledger.breaches().isEmpty();
 * }</pre>
 *
 * <p>Safe for use by many threads.
 */
public final class PlatformLedger {
  private final boolean checksFencing;
  private final Map<String, String> orders = new HashMap<>();
  private final Map<String, String> reports = new HashMap<>();
  private final Map<String, Long> newestFencing = new HashMap<>();
  private final List<Breach> breaches = new ArrayList<>();

  /**
   * Returns an empty ledger.
   *
   * @param checksFencing whether requests with an old fencing number are refused; if not, they are
   *     taken and recorded as a breach
   */
  public PlatformLedger(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /** What a request did. */
  public enum LedgerAnswer {
    /** Taken for the first time. */
    TAKEN,
    /** The same request was taken before. */
    REPEATED,
    /** Another request was taken under the same name. */
    CONFLICT,
    /** The fencing number is older than one seen before. */
    FENCED
  }

  /** The kinds of breach of a promise. */
  public enum BreachKind {
    /** A request came from a holder whose lease had passed to another. */
    TWO_IN_CHARGE,
    /** A request came again with another content. */
    DIFFERENT_CONTENT
  }

  /**
   * One breach of a promise.
   *
   * @param kind what was breached
   * @param detail names the request
   */
  public record Breach(BreachKind kind, String detail) {}

  /**
   * Takes an order.
   *
   * @param lease the lease under which it is given
   * @param fencing the fencing number of the lease
   * @param id names the order
   * @param content what it says
   */
  public synchronized LedgerAnswer order(String lease, long fencing, String id, String content) {
    return take(orders, lease, fencing, id, content);
  }

  /**
   * Takes a usage report.
   *
   * @param shard the shard of customers
   * @param windowStartMillis the start of the window, in milliseconds since the epoch
   * @param fencing the fencing number of the shard's lease
   * @param lines the figures
   */
  public synchronized LedgerAnswer report(
      int shard, long windowStartMillis, long fencing, String lines) {
    String window = shard + "/" + windowStartMillis;
    return take(reports, "usage/" + shard, fencing, window, lines);
  }

  private LedgerAnswer take(
      Map<String, String> taken, String lease, long fencing, String id, String content) {
    Objects.requireNonNull(content, "content");
    long newest = newestFencing.merge(lease, fencing, Math::max);
    if (fencing < newest) {
      if (checksFencing) {
        return LedgerAnswer.FENCED;
      }
      breaches.add(new Breach(BreachKind.TWO_IN_CHARGE, lease + " " + id + " under " + fencing));
    }
    String earlier = taken.putIfAbsent(id, content);
    if (earlier == null) {
      return LedgerAnswer.TAKEN;
    }
    if (earlier.equals(content)) {
      return LedgerAnswer.REPEATED;
    }
    breaches.add(new Breach(BreachKind.DIFFERENT_CONTENT, id));
    return LedgerAnswer.CONFLICT;
  }

  /** Returns the orders by id. */
  public synchronized Map<String, String> orders() {
    return Map.copyOf(orders);
  }

  /** Returns the reported lines by shard and window, as {@code shard/start}. */
  public synchronized Map<String, String> reports() {
    return Map.copyOf(reports);
  }

  /** Returns the breaches seen, oldest first. */
  public synchronized List<Breach> breaches() {
    return List.copyOf(breaches);
  }
}
