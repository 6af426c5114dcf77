package io.jacinthquay.testkit.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Records the orders and usage reports that the fake platform receives, and their violations.
 *
 * <pre>{@code
 * LedgerResult result = ledger.recordReport(0, 60_000, 7, lines);
 * assert ledger.violations().isEmpty();
 * }</pre>
 *
 * <p>Safe for use by many threads.
 */
public final class PlatformLedger {
  private final boolean checksFencing;
  private final Map<String, String> orders = new HashMap<>();
  private final Map<String, String> reports = new HashMap<>();
  private final Map<String, Long> newestFencingTokens = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /**
   * Returns an empty ledger.
   *
   * @param checksFencing whether requests with an old fencing token are rejected; if not, they are
   *     accepted and recorded as a violation
   */
  public PlatformLedger(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /** The result of a request. */
  public enum LedgerResult {
    /** Accepted for the first time. */
    TAKEN,
    /** The same request was accepted before. */
    REPEATED,
    /** Another request was accepted under the same id. */
    CONFLICT,
    /** The fencing token is older than one seen before. */
    FENCED
  }

  /** The kinds of violation. */
  public enum ViolationKind {
    /** A request came from a holder whose lease had passed to another holder. */
    TWO_IN_CHARGE,
    /** A request was repeated with different content. */
    DIFFERENT_CONTENT
  }

  /**
   * A violation by the sender of a request.
   *
   * @param kind the kind of violation
   * @param detail names the request
   */
  public record Violation(ViolationKind kind, String detail) {}

  /**
   * Records an order.
   *
   * @param lease the lease under which the order is sent
   * @param fencingToken the fencing token of the lease
   * @param id the id of the order
   * @param content the body of the order
   */
  public synchronized LedgerResult recordOrder(
      String lease, long fencingToken, String id, String content) {
    return record(orders, lease, fencingToken, id, content);
  }

  /**
   * Records a usage report.
   *
   * @param shard the shard of customers
   * @param windowStartMillis the start of the window, in milliseconds since the epoch
   * @param fencingToken the fencing token of the shard's lease
   * @param lines the usage lines
   */
  public synchronized LedgerResult recordReport(
      int shard, long windowStartMillis, long fencingToken, String lines) {
    String window = shard + "/" + windowStartMillis;
    return record(reports, "usage/" + shard, fencingToken, window, lines);
  }

  private LedgerResult record(
      Map<String, String> accepted, String lease, long fencingToken, String id, String content) {
    Objects.requireNonNull(content, "content");
    long newestToken = newestFencingTokens.merge(lease, fencingToken, Math::max);
    if (fencingToken < newestToken) {
      if (checksFencing) {
        return LedgerResult.FENCED;
      }
      violations.add(
          new Violation(ViolationKind.TWO_IN_CHARGE, lease + " " + id + " under " + fencingToken));
    }
    String acceptedContent = accepted.putIfAbsent(id, content);
    if (acceptedContent == null) {
      return LedgerResult.TAKEN;
    }
    if (acceptedContent.equals(content)) {
      return LedgerResult.REPEATED;
    }
    violations.add(new Violation(ViolationKind.DIFFERENT_CONTENT, id));
    return LedgerResult.CONFLICT;
  }

  /** Returns the orders by id. */
  public synchronized Map<String, String> orders() {
    return Map.copyOf(orders);
  }

  /** Returns the reported lines by shard and window, as {@code shard/start}. */
  public synchronized Map<String, String> reports() {
    return Map.copyOf(reports);
  }

  /** Returns the violations seen, oldest first. */
  public synchronized List<Violation> violations() {
    return List.copyOf(violations);
  }
}
