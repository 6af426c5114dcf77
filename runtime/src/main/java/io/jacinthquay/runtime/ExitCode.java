package io.jacinthquay.runtime;

/** The exit codes of every program. */
public enum ExitCode {
  /** The program succeeded. */
  OK(0),
  /** The program failed; the last log line or message names the cause. */
  FAILURE(1),
  /** The settings are invalid; all errors were printed. */
  SETTINGS_INVALID(2),
  /** Stored data is corrupt or locked by another process. */
  STORAGE(3),
  /** The change was rejected, for example because of a version conflict. */
  REFUSED(4),
  /** The outcome of the change is unknown; retry it with the same change id. */
  UNKNOWN(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
