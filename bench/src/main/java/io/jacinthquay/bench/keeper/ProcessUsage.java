package io.jacinthquay.bench.keeper;

import io.jacinthquay.testkit.process.JvmProcess;
import java.io.IOException;

/** The processor time and transferred bytes of one process since this object was created. */
final class ProcessUsage {
  private final JvmProcess process;
  private final long startNanos = System.nanoTime();
  private final long startBytes;
  private final long startProcessorMillis;

  ProcessUsage(JvmProcess process) throws IOException {
    this.process = process;
    this.startBytes = process.transferredBytes();
    this.startProcessorMillis = process.processorTime().toMillis();
  }

  /** Returns the mean usage per second since creation, as a text. */
  String describe() throws IOException {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    double kilobytes = (process.transferredBytes() - startBytes) / 1e3 / seconds;
    double corePercent =
        (process.processorTime().toMillis() - startProcessorMillis) / 10.0 / seconds;
    return String.format("%.1f%% of a core and %.1f kB/s", corePercent, kilobytes);
  }
}
