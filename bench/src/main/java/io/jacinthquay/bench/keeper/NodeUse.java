package io.jacinthquay.bench.keeper;

import io.jacinthquay.testkit.process.JvmProcess;
import java.io.IOException;

/** Processor time and bytes that one process uses from when this is made. */
final class NodeUse {
  private final JvmProcess process;
  private final long startNanos = System.nanoTime();
  private final long startBytes;
  private final long startProcessorMillis;

  NodeUse(JvmProcess process) throws IOException {
    this.process = process;
    this.startBytes = process.transferredBytes();
    this.startProcessorMillis = process.processorTime().toMillis();
  }

  /** Returns the use per second so far. */
  String describe() throws IOException {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    double kilobytes = (process.transferredBytes() - startBytes) / 1e3 / seconds;
    double core = (process.processorTime().toMillis() - startProcessorMillis) / 10.0 / seconds;
    return String.format("%.1f%% of a core and %.1f kB/s", core, kilobytes);
  }
}
