package io.jacinthquay.decision.slo;

import io.jacinthquay.model.policy.ClassPolicy;

/**
 * The measurements of one request.
 *
 * @param complete whether the caller received the complete answer
 * @param firstTokenMicros time from arrival to the first token or byte, in microseconds; 0 if there
 *     was none
 * @param interTokenMicros mean time between tokens, in microseconds; 0 if there were fewer than two
 *     tokens
 */
public record SloSample(boolean complete, long firstTokenMicros, long interTokenMicros) {
  private static final double MICROS_PER_MILLI = 1_000;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a time is negative
   */
  public SloSample {
    if (firstTokenMicros < 0 || interTokenMicros < 0) {
      throw new IllegalArgumentException("times must not be negative");
    }
  }

  /** Returns the sample of a request that was shed or failed. */
  public static SloSample failed() {
    return new SloSample(false, 0, 0);
  }

  /**
   * Returns the sample of a request whose first token was not timed.
   *
   * @param onTime whether the complete answer arrived within the time that the targets allow for it
   */
  public static SloSample untimed(boolean onTime) {
    return new SloSample(onTime, 0, 0);
  }

  /** Returns whether the request met the targets of its class. */
  public boolean meets(ClassPolicy policy) {
    return complete
        && firstTokenMicros <= policy.firstTokenMs() * MICROS_PER_MILLI
        && interTokenMicros <= policy.interTokenMs() * MICROS_PER_MILLI;
  }
}
