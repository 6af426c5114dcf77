package io.jacinthquay.runtime;

/** The exit codes of every program. */
public enum ExitCode {
  /** The program did its work. */
  OK(0),
  /** The program failed; the last log line or message says why. */
  FAILURE(1),
  /** The settings have errors; all of them were printed. */
  SETTINGS_INVALID(2),
  /** Stored data is damaged or locked by another process. */
  STORAGE(3),
  /** The change was refused, such as by a version conflict. */
  REFUSED(4),
  /** The outcome of the change is not known; send it again with the same change id. */
  UNKNOWN(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number given to the operating system. */
  public int number() {
    return number;
  }
}
