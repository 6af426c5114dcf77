package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.OpenWindow;
import io.jacinthquay.controller.port.UsageStore;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Runs the usage reporters of all shards over one read of the open windows.
 *
 * <pre>{@code
 * reporting.step(); // again and again, by one thread
 * }</pre>
 */
public final class UsageReporting {
  private final UsageStore store;
  private final List<UsageReporter> reporters;

  /** Returns the reporting over reporters, one per shard. */
  public UsageReporting(UsageStore store, List<UsageReporter> reporters) {
    this.store = Objects.requireNonNull(store, "store");
    this.reporters = List.copyOf(reporters);
  }

  /** Lets every reporter make one step. */
  public void step() {
    List<OpenWindow> open = store.openWindows().getOrElse(List.of());
    Map<Integer, List<Long>> starts =
        open.stream()
            .collect(
                Collectors.groupingBy(
                    OpenWindow::shard,
                    Collectors.mapping(OpenWindow::startMillis, Collectors.toList())));
    for (UsageReporter reporter : reporters) {
      reporter.step(starts.getOrDefault(reporter.shard(), List.of()));
    }
  }

  /** Gives all leases back. */
  public void release() {
    reporters.forEach(UsageReporter::release);
  }
}
