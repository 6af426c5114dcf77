package io.jacinthquay.consensus;

/** Numbered failures of the replicated log and its storage. */
public enum LogError {
  /** This replica is not the leader; the command was not run. */
  NOT_LEADER(3001, true),
  /** No leader is known or no quorum answers; the command was not run. */
  NO_QUORUM(3002, true),
  /** The command may or may not be committed. */
  OUTCOME_UNKNOWN(3003, false),
  /** The queue is full; the command was not run. */
  OVERLOADED(3004, true),
  /** The service is not running; the command was not run. */
  STOPPED(3005, true),
  /** The membership change is not possible now; nothing changed. */
  CHANGE_REFUSED(3006, true),
  /** The command is larger than the limit; it was not run. */
  TOO_LARGE(3007, true),
  /** Writing or syncing the data folder failed. */
  STORAGE_FAILED(3010, false),
  /** The data folder holds damaged data that was once synced. */
  STORAGE_CORRUPT(3011, true),
  /** Another process holds the data folder. */
  STORAGE_LOCKED(3012, true),
  /** The data folder belongs to another member. */
  STORAGE_FOREIGN(3013, true);

  private final int code;
  private final boolean notRun;

  LogError(int code, boolean notRun) {
    this.code = code;
    this.notRun = notRun;
  }

  /**
   * Gives the number that logs and docs use.
   *
   * @return a number from 3000 to 3099
   */
  public int code() {
    return code;
  }

  /**
   * Tells whether the command certainly had and will have no effect.
   *
   * @return true if it never ran
   */
  public boolean notRun() {
    return notRun;
  }
}
