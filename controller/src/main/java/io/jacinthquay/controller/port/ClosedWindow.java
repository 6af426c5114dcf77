package io.jacinthquay.controller.port;

import java.util.List;

/**
 * A sealed usage window, whose figures never change.
 *
 * @param shard the shard of customers
 * @param startMillis its start, in milliseconds since the epoch
 * @param lines its lines, in a fixed order
 */
public record ClosedWindow(int shard, long startMillis, List<UsageLine> lines) {
  /** Copies the lines. */
  public ClosedWindow {
    lines = List.copyOf(lines);
  }
}
