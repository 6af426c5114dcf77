package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.router.port.UsageSink;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.UsageCounter;
import io.vavr.control.Either;
import java.util.List;

/** Delivers usage counters to the keepers. */
public final class ThriftUsageSink implements UsageSink {
  private final KeeperClient keepers;

  /** Returns a sink. */
  public ThriftUsageSink(KeeperClient keepers) {
    this.keepers = keepers;
  }

  @Override
  public Either<Failure, Void> ship(List<UsageCount> counts) {
    List<UsageCounter> messages = counts.stream().map(ThriftUsageSink::message).toList();
    return keepers.call(
        keeper -> {
          keeper.shipUsage(messages);
          return null;
        });
  }

  static UsageCounter message(UsageCount count) {
    return new UsageCounter(
        count.incarnation(),
        count.customer().value(),
        count.model(),
        count.windowStartMillis(),
        count.requests(),
        count.inputTokens(),
        count.outputTokens());
  }
}
