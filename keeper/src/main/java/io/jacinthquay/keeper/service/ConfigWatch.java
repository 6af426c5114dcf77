package io.jacinthquay.keeper.service;

import io.jacinthquay.keeper.state.StateListener;
import io.jacinthquay.keeper.state.Tables;

/** Wakes the threads that wait for a newer configuration. */
public final class ConfigWatch implements StateListener {
  private final Signal signal = new Signal();
  private long version;

  @Override
  public void changed(Tables tables) {
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
