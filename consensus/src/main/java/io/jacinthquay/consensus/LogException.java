package io.jacinthquay.consensus;

import java.util.Objects;

/** Thrown when the log can't start. */
public final class LogException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient LogFailure failure;

  /**
   * Creates an exception for a failure.
   *
   * @param failure the failure
   * @param cause the I/O error that caused it, or null
   */
  public LogException(LogFailure failure, Throwable cause) {
    super(failure.error().code() + " " + failure.error() + ": " + failure.detail(), cause);
    this.failure = Objects.requireNonNull(failure, "failure");
  }

  /**
   * Returns the failure, which contains the error number.
   *
   * @return the failure
   */
  public LogFailure failure() {
    return failure;
  }
}
