package io.jacinthquay.decision.slots;

import java.util.Objects;

/**
 * How the work on a slot ended.
 *
 * @param end the kind of completion
 * @param tokens input and output tokens used, 0 or more
 * @param firstTokenNanos time from dispatch to the first token; negative without a token
 * @param onTarget whether the targets of the class were met
 */
public record Completion(End end, long tokens, long firstTokenNanos, boolean onTarget) {
  /** The kinds of completion. */
  public enum End {
    /** The slot was never used. */
    UNUSED,
    /** The whole answer was received. */
    DONE,
    /** The upstream rejected the request before running it. */
    REFUSED,
    /** The upstream failed or the stream broke. */
    FAILED,
    /** The caller disconnected. */
    CANCELLED,
    /** The owner preempted the work. */
    PREEMPTED
  }

  /** The completion of a slot that was never used. */
  public static final Completion UNUSED = new Completion(End.UNUSED, 0, -1, false);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if {@code tokens} is negative
   * @throws NullPointerException if {@code end} is missing
   */
  public Completion {
    Objects.requireNonNull(end, "end");
    if (tokens < 0) {
      throw new IllegalArgumentException("tokens is " + tokens);
    }
  }

  /** Returns the completion of a whole answer. */
  public static Completion done(long tokens, long firstTokenNanos, boolean onTarget) {
    return new Completion(End.DONE, tokens, firstTokenNanos, onTarget);
  }

  /** Returns a completion without a first token, which is not on target. */
  public static Completion ended(End end, long tokens) {
    return new Completion(end, tokens, -1, false);
  }
}
