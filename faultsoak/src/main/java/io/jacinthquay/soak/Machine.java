package io.jacinthquay.soak;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** What the machine bears of the programs beside the soak itself. */
final class Machine {
  /** What one program takes at its peak, in bytes; see docs/operations/soak.md. */
  private static final long PROGRAM_BYTES = 100L << 20;

  /** Processes that the users allow at most, with some left for the soak's own. */
  private static final int MOST_PROCESSES = 290;

  private Machine() {}

  /** Returns how many programs take at most half of the machine's memory. */
  static int mostPrograms() {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return mostPrograms(system.getTotalMemorySize());
  }

  /**
   * Returns how many programs take at most half of a machine's memory.
   *
   * @param memoryBytes all of its memory
   */
  static int mostPrograms(long memoryBytes) {
    return (int) Math.min(MOST_PROCESSES, memoryBytes / 2 / PROGRAM_BYTES);
  }
}
