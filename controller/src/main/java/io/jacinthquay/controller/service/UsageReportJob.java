package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.OpenWindow;
import io.jacinthquay.controller.port.UsageStore;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Runs the usage reporters of all shards; the open windows are read once per run.
 *
 * <pre>{@code
 * job.runOnce(); // called periodically by one thread
 * }</pre>
 */
public final class UsageReportJob {
  private final UsageStore store;
  private final List<UsageReporter> reporters;

  /** Returns a job that runs the given reporters, one per shard. */
  public UsageReportJob(UsageStore store, List<UsageReporter> reporters) {
    this.store = Objects.requireNonNull(store, "store");
    this.reporters = List.copyOf(reporters);
  }

  /** Reads the open windows and runs each reporter once. */
  public void runOnce() {
    List<OpenWindow> open = store.openWindows().getOrElse(List.of());
    Map<Integer, List<Long>> startsByShard =
        open.stream()
            .collect(
                Collectors.groupingBy(
                    OpenWindow::shard,
                    Collectors.mapping(OpenWindow::startMillis, Collectors.toList())));
    for (UsageReporter reporter : reporters) {
      reporter.sealAndReport(startsByShard.getOrDefault(reporter.shard(), List.of()));
    }
  }

  /** Releases all leases. */
  public void release() {
    reporters.forEach(UsageReporter::release);
  }
}
