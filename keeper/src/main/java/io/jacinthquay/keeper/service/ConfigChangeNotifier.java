package io.jacinthquay.keeper.service;

import io.jacinthquay.keeper.state.StateListener;
import io.jacinthquay.keeper.state.Tables;

/** Raises a signal after each new configuration version. */
public final class ConfigChangeNotifier implements StateListener {
  private final Signal signal = new Signal();
  private long version;

  @Override
  public void onStateChange(Tables tables) {
    long next = tables.config().version();
    if (next != version) {
      version = next;
      signal.raise();
    }
  }

  Signal signal() {
    return signal;
  }
}
