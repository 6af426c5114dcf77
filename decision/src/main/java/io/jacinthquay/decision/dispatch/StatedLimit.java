package io.jacinthquay.decision.dispatch;

/**
 * The rate that an upstream states that it takes from all routers together, and this router's part
 * of it.
 *
 * <p>Answers an upstream in need that takes about one request a second while dozens of routers know
 * it: an equal share of each router would be far below one request a second, and shares that are
 * used at the same moment exceed the limit. The time that all routers share is cut into turns of
 * one request each, and the routers take turns in their order. So they keep the limit together
 * without telling each other of their sends, also while no leader is heard.
 */
final class StatedLimit {
  /**
   * Lowest rate over all routers, in requests per second. An upstream that states less, or 0, gets
   * so few requests that it can show that its limit has ended.
   */
  private static final double MIN_PER_SECOND = 0.1;

  /** Highest rate that is distinguished, in requests per second; no upstream takes as many. */
  private static final double MAX_PER_SECOND = 10_000;

  /** Time for which a turn may be used late, in seconds; requests rarely arrive at its start. */
  private static final double GRACE_SECONDS = 1;

  private static final double NANOS_PER_SECOND = 1e9;

  private RouterTurn turn;
  private double perSecond;
  private long statedAt;
  private long lastUsed;

  /** Returns a limit that is to be stated. */
  StatedLimit(RouterTurn turn) {
    this.turn = turn;
  }

  /** Returns the rate of all routers together, in requests per second. */
  double perSecond() {
    return perSecond;
  }

  /**
   * Records that an answer stated a limit.
   *
   * @param requestsPerSecond a finite number, 0 or more
   */
  void state(double requestsPerSecond, long now) {
    double rate = Math.max(MIN_PER_SECOND, Math.min(MAX_PER_SECOND, requestsPerSecond));
    statedAt = now;
    if (rate != perSecond) {
      perSecond = rate;
      skipPastTurns(now);
    }
  }

  /**
   * Returns whether an answer without a limit ends this one. Answers overtake each other, so only
   * the answer to a request that was sent after the last statement does.
   */
  boolean isEndedBy(long sentNanos) {
    return sentNanos - statedAt > 0;
  }

  /** Sets this router's place among the routers. */
  void setTurn(RouterTurn newTurn, long now) {
    boolean sameOrder = newTurn.isSameOrder(turn);
    turn = newTurn;
    if (!sameOrder) {
      skipPastTurns(now);
    }
  }

  /** Turns that began under another numbering can't be told from those that were used. */
  private void skipPastTurns(long now) {
    lastUsed = currentTurn(now);
  }

  private long currentTurn(long now) {
    return (long) Math.floor((now + turn.clockOffsetNanos()) / NANOS_PER_SECOND * perSecond);
  }

  /** Returns whether this router may send a request now. */
  boolean allows(long now) {
    return nextOwnTurn(now) <= currentTurn(now);
  }

  /** Uses the oldest of this router's turns that is not over. */
  void take(long now) {
    if (allows(now)) {
      lastUsed = nextOwnTurn(now);
    }
  }

  /** Returns this router's next turn that is neither used nor over; it may lie ahead. */
  private long nextOwnTurn(long now) {
    long usableTurns = 1 + (long) Math.floor(GRACE_SECONDS * perSecond);
    long from = Math.max(lastUsed + 1, currentTurn(now) - usableTurns + 1);
    return from + Math.floorMod(turn.position() - from, (long) turn.count());
  }

  /** Returns the requests per second that this router may send. */
  double ownPerSecond() {
    return perSecond / turn.count();
  }
}
