package io.jacinthquay.controller.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** The orders in the replicated log. */
public interface OrderStore {
  /** Records an order under its lease before it is sent. */
  Either<Failure, Void> record(Order order);

  /** Records that an order was answered. */
  Either<Failure, Void> complete(Order order, Lease lease);

  /** Returns the orders of a failure domain that were recorded and not yet answered. */
  Either<Failure, List<Order>> open(DomainId domain);
}
