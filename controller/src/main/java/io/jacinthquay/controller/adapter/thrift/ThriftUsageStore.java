package io.jacinthquay.controller.adapter.thrift;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.OpenWindow;
import io.jacinthquay.controller.port.SealedUsageWindow;
import io.jacinthquay.controller.port.UsageLine;
import io.jacinthquay.controller.port.UsageStore;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.gen.SealedWindow;
import io.jacinthquay.wire.gen.UsageCounter;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/** Reads and seals the usage windows of the keepers. */
public final class ThriftUsageStore implements UsageStore {
  private final KeeperClient keepers;

  /** Returns a store that calls the keepers through a client. */
  public ThriftUsageStore(KeeperClient keepers) {
    this.keepers = Objects.requireNonNull(keepers, "keepers");
  }

  @Override
  public Either<Failure, List<OpenWindow>> openWindows() {
    return keepers
        .call(Keeper.Iface::openUsage)
        .map(
            counters ->
                counters.stream()
                    .map(ThriftUsageStore::windowOf)
                    .distinct()
                    .sorted(Comparator.comparingLong(OpenWindow::startMillis))
                    .toList());
  }

  private static OpenWindow windowOf(UsageCounter counter) {
    int shard = UsageWindow.shardOf(counter.getCustomer());
    return new OpenWindow(shard, counter.getWindowStartMillis());
  }

  @Override
  public Either<Failure, SealedUsageWindow> seal(int shard, long startMillis, Lease lease) {
    return keepers
        .call(
            keeper ->
                keeper.sealWindow(
                    shard, startMillis, lease.name().value(), lease.fencing().value()))
        .map(ThriftUsageStore::fromMessage);
  }

  @Override
  public Either<Failure, List<SealedUsageWindow>> unreported(int shard, int limit) {
    return keepers
        .call(keeper -> keeper.sealedWindows(shard, true, limit))
        .map(windows -> windows.stream().map(ThriftUsageStore::fromMessage).toList());
  }

  @Override
  public Either<Failure, Void> markReported(SealedUsageWindow window, Lease lease) {
    return keepers.call(
        keeper -> {
          keeper.markReported(
              window.shard(), window.startMillis(), lease.name().value(), lease.fencing().value());
          return null;
        });
  }

  private static SealedUsageWindow fromMessage(SealedWindow window) {
    List<UsageLine> lines = window.getLines().stream().map(ThriftUsageStore::fromMessage).toList();
    return new SealedUsageWindow(window.getShard(), window.getWindowStartMillis(), lines);
  }

  private static UsageLine fromMessage(io.jacinthquay.wire.gen.UsageLine line) {
    return new UsageLine(
        new CustomerId(line.getCustomer()),
        line.getModel(),
        line.getRequests(),
        line.getInputTokens(),
        line.getOutputTokens(),
        line.getOccurredMillis());
  }
}
