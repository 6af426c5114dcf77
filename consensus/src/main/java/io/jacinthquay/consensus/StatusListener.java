package io.jacinthquay.consensus;

/** Receives changes of role, term, leader and membership. */
@FunctionalInterface
public interface StatusListener {
  /**
   * Called on the protocol thread after a change, so it must return quickly.
   *
   * @param status the status after the change
   */
  void statusChanged(LogStatus status);
}
