package io.jacinthquay.soak;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** How many programs fit on the machine beside the soak itself. */
final class MachineLimits {
  /** Peak memory of one program; see docs/operations/soak.md. */
  private static final long PROGRAM_BYTES = 100L << 20;

  /** Below the largest permitted number of processes, to leave some for the soak itself. */
  private static final int MAX_PROCESSES = 290;

  private MachineLimits() {}

  /** Returns how many programs may run on this machine. */
  static int maxPrograms() {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return maxPrograms(system.getTotalMemorySize());
  }

  /**
   * Returns how many programs may run on a machine: those that fit in half of its memory, and at
   * most {@link #MAX_PROCESSES}.
   *
   * @param memoryBytes total memory of the machine
   */
  static int maxPrograms(long memoryBytes) {
    return (int) Math.min(MAX_PROCESSES, memoryBytes / 2 / PROGRAM_BYTES);
  }
}
