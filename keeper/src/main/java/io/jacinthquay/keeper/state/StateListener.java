package io.jacinthquay.keeper.state;

/** Hears of new states. */
@FunctionalInterface
public interface StateListener {
  /**
   * Takes the newest state. Called on the log's thread, so it must return quickly.
   *
   * @param tables the state
   */
  void changed(Tables tables);
}
