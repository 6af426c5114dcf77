package io.jacinthquay.controller.port;

import java.util.List;

/**
 * A sealed usage window; its lines never change.
 *
 * @param shard the customer shard
 * @param startMillis the start of the window, in milliseconds since the epoch
 * @param lines the usage lines, in a fixed order
 */
public record SealedUsageWindow(int shard, long startMillis, List<UsageLine> lines) {
  /** Copies the lines. */
  public SealedUsageWindow {
    lines = List.copyOf(lines);
  }
}
