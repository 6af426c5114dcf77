package io.jacinthquay.consensus;

import java.util.Objects;

/** Thrown when the log can't start; carries the numbered failure. */
public final class LogException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient LogFailure failure;

  /**
   * Wraps a failure.
   *
   * @param failure the failure
   * @param cause the I/O error behind it, or null
   */
  public LogException(LogFailure failure, Throwable cause) {
    super(failure.error().code() + " " + failure.error() + ": " + failure.detail(), cause);
    this.failure = Objects.requireNonNull(failure, "failure");
  }

  /**
   * Gives the numbered failure.
   *
   * @return the failure
   */
  public LogFailure failure() {
    return failure;
  }
}
