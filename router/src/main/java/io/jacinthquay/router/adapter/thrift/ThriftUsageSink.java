package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.router.port.UsageSink;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.UsageCounter;
import io.vavr.control.Either;
import java.util.List;

/** Stores usage counters with the keepers. */
public final class ThriftUsageSink implements UsageSink {
  private final KeeperClient keepers;

  /**
   * Returns a sink.
   *
   * @param keepers client of the keepers
   */
  public ThriftUsageSink(KeeperClient keepers) {
    this.keepers = keepers;
  }

  @Override
  public Either<Failure, Void> deliver(List<UsageCount> counts) {
    List<UsageCounter> messages = counts.stream().map(ThriftUsageSink::message).toList();
    return keepers.call(
        keeper -> {
          keeper.shipUsage(messages);
          return null;
        });
  }

  /** Returns the message of a counter. */
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
