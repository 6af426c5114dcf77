package io.jacinthquay.decision.quarantine;

import java.time.Duration;
import java.util.Objects;

/**
 * A part of a prompt with which requests are rejected, since it crashes upstreams.
 *
 * <p>Upstreams may be repaired, and the evidence may have been wrong, so one request is tried from
 * time to time. Each trial may cost an upstream, so the time between two trials doubles.
 *
 * @param part the part
 * @param sinceMillis when it was quarantined, in milliseconds since the epoch
 * @param retryAtMillis when a request with it may be tried, in milliseconds since the epoch
 * @param trials how often a request was tried, 0 or more
 */
public record QuarantinedPart(PartId part, long sinceMillis, long retryAtMillis, int trials) {
  /** Time until the first trial. */
  private static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(1);

  /** Longest time between two trials. */
  private static final Duration MAX_TRIAL_DELAY = Duration.ofHours(1);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if {@code trials} is negative
   */
  public QuarantinedPart {
    Objects.requireNonNull(part, "part");
    if (trials < 0) {
      throw new IllegalArgumentException("trials must not be negative");
    }
  }

  /** Returns the entry of a part that is quarantined now. */
  public static QuarantinedPart startingAt(PartId part, long nowMillis) {
    return new QuarantinedPart(part, nowMillis, nowMillis + FIRST_TRIAL_DELAY.toMillis(), 0);
  }

  /** Returns whether a request may be tried now. */
  public boolean isTrialDue(long nowMillis) {
    return nowMillis >= retryAtMillis;
  }

  /** Returns the entry after a trial has begun. */
  public QuarantinedPart withTrialAt(long nowMillis) {
    long delay = FIRST_TRIAL_DELAY.toMillis();
    for (int i = 0; i <= trials && delay < MAX_TRIAL_DELAY.toMillis(); i++) {
      delay *= 2;
    }
    delay = Math.min(delay, MAX_TRIAL_DELAY.toMillis());
    return new QuarantinedPart(part, sinceMillis, nowMillis + delay, trials + 1);
  }
}
