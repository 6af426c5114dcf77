package io.jacinthquay.consensus;

/** Hears about changes of role, term, leader and membership. */
@FunctionalInterface
public interface StatusListener {
  /**
   * Takes the new status. Called on the log's own thread, so it must return quickly.
   *
   * @param status the status after the change
   */
  void statusChanged(LogStatus status);
}
