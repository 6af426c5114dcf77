package io.jacinthquay.keeper.state;

/** Listener for new states. */
@FunctionalInterface
public interface StateListener {
  /**
   * Called with each new state, on the log's thread, so it must return quickly.
   *
   * @param tables the new state
   */
  void onStateChange(Tables tables);
}
