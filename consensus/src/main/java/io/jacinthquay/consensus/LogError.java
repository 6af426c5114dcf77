package io.jacinthquay.consensus;

import io.jacinthquay.model.ResultCode;

/** Failures of the replicated log and its storage. */
public enum LogError {
  /** This replica is not the leader; the command was not run. */
  NOT_LEADER(ResultCode.NOT_LEADER, true),
  /** No leader is known or no quorum answers; the command was not run. */
  NO_QUORUM(ResultCode.NO_QUORUM, true),
  /** The command may or may not be committed. */
  OUTCOME_UNKNOWN(ResultCode.NO_QUORUM, false),
  /** The queue is full; the command was not run. */
  OVERLOADED(ResultCode.LOG_OVERLOADED, true),
  /** The service is not running; the command was not run. */
  STOPPED(ResultCode.SHUTTING_DOWN, true),
  /** The membership change is not possible now; nothing changed. */
  CHANGE_REFUSED(ResultCode.MEMBERSHIP_REFUSED, true),
  /** The command is larger than the limit; it was not run. */
  TOO_LARGE(ResultCode.COMMAND_TOO_LARGE, true),
  /** Writing or syncing the data folder failed. */
  STORAGE_FAILED(ResultCode.STORAGE_FAILED, false),
  /** The data folder holds damaged data that was once synced. */
  STORAGE_CORRUPT(ResultCode.STORAGE_CORRUPT, true),
  /** Another process holds the data folder. */
  STORAGE_LOCKED(ResultCode.STORAGE_LOCKED, true),
  /** The data folder belongs to another member. */
  STORAGE_FOREIGN(ResultCode.STORAGE_FOREIGN, true);

  private final ResultCode resultCode;
  private final boolean notRun;

  LogError(ResultCode resultCode, boolean notRun) {
    this.resultCode = resultCode;
    this.notRun = notRun;
  }

  /**
   * Gives the numbered result that callers hear.
   *
   * @return the result code
   */
  public ResultCode resultCode() {
    return resultCode;
  }

  /**
   * Gives the number that logs and docs use.
   *
   * @return the number of the result code
   */
  public int code() {
    return resultCode.number();
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
