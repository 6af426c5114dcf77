package io.jacinthquay.controller.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** Stores orders in the replicated log. */
public interface OrderStore {
  /** Records an order under its lease; called before the order is sent. */
  Either<Failure, Void> record(Order order);

  /** Records that the platform has answered an order. */
  Either<Failure, Void> complete(Order order, Lease lease);

  /** Returns the recorded orders of a failure domain that the platform has not answered yet. */
  Either<Failure, List<Order>> pendingOrders(DomainId domain);
}
