package io.jacinthquay.controller.adapter.thrift;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.controller.port.OrderStore;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.OrderRecord;
import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;

/** Stores orders at the keepers. */
public final class ThriftOrderStore implements OrderStore {
  private final KeeperClient keepers;

  /** Returns a store that calls the keepers through a client. */
  public ThriftOrderStore(KeeperClient keepers) {
    this.keepers = Objects.requireNonNull(keepers, "keepers");
  }

  @Override
  public Either<Failure, Void> record(Order order) {
    OrderRecord message =
        new OrderRecord(
            order.id(),
            order.lease().value(),
            order.fencing().value(),
            order.domain().value(),
            order.json(),
            false);
    return keepers.call(
        keeper -> {
          keeper.recordOrder(message);
          return null;
        });
  }

  @Override
  public Either<Failure, Void> complete(Order order, Lease lease) {
    return keepers.call(
        keeper -> {
          keeper.completeOrder(order.id(), lease.name().value(), lease.fencing().value());
          return null;
        });
  }

  @Override
  public Either<Failure, List<Order>> pendingOrders(DomainId domain) {
    return keepers
        .call(keeper -> keeper.openOrders(domain.value()))
        .map(orders -> orders.stream().map(ThriftOrderStore::fromMessage).toList());
  }

  private static Order fromMessage(OrderRecord message) {
    return new Order(
        message.getOrderId(),
        new LeaseName(message.getLease()),
        new FencingToken(message.getFencing()),
        new DomainId(message.getDomain()),
        message.getJson());
  }
}
