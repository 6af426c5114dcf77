package io.jacinthquay.consensus;

import io.jacinthquay.model.ResultCode;

/** Failures of the replicated log and its storage. */
public enum LogError {
  /** This replica is not the leader; the command was not executed. */
  NOT_LEADER(ResultCode.NOT_LEADER, true),
  /** No leader is known or no quorum answers; the command was not executed. */
  NO_QUORUM(ResultCode.NO_QUORUM, true),
  /** The command may or may not be committed. */
  OUTCOME_UNKNOWN(ResultCode.NO_QUORUM, false),
  /** The queue is full; the command was not executed. */
  OVERLOADED(ResultCode.LOG_OVERLOADED, true),
  /** The log is not running; the command was not executed. */
  STOPPED(ResultCode.SHUTTING_DOWN, true),
  /** The membership change is not possible now; the membership is unchanged. */
  CHANGE_REFUSED(ResultCode.MEMBERSHIP_REFUSED, true),
  /** The command is larger than the limit; it was not executed. */
  TOO_LARGE(ResultCode.COMMAND_TOO_LARGE, true),
  /** Writing or syncing the data folder failed. */
  STORAGE_FAILED(ResultCode.STORAGE_FAILED, false),
  /** The data folder contains damaged data that had been synced. */
  STORAGE_CORRUPT(ResultCode.STORAGE_CORRUPT, true),
  /** Another process has locked the data folder. */
  STORAGE_LOCKED(ResultCode.STORAGE_LOCKED, true),
  /** The data folder belongs to another member or is no folder. */
  STORAGE_FOREIGN(ResultCode.STORAGE_FOREIGN, true);

  private final ResultCode resultCode;
  private final boolean notRun;

  LogError(ResultCode resultCode, boolean notRun) {
    this.resultCode = resultCode;
    this.notRun = notRun;
  }

  /**
   * Returns the result code that is reported to callers.
   *
   * @return the result code
   */
  public ResultCode resultCode() {
    return resultCode;
  }

  /**
   * Returns the number of the result code, which log lines and documents refer to.
   *
   * @return the number of the result code
   */
  public int code() {
    return resultCode.number();
  }

  /**
   * Returns whether the command is certain to have no effect, now or later.
   *
   * @return true if the command was not executed
   */
  public boolean notRun() {
    return notRun;
  }

  /**
   * Returns whether a storage that can't be opened with this error may be opened later without an
   * operator: a disk that refuses writes, or a folder that a process locks which is just ending.
   *
   * @return false if the folder is damaged or isn't one of this member
   */
  public boolean mayPass() {
    return this != STORAGE_CORRUPT && this != STORAGE_FOREIGN;
  }
}
