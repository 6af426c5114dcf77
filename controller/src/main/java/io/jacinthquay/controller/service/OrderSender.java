package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.controller.port.OrderStore;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Sends orders of one failure domain to the platform under the lease {@code capacity/<domain>}.
 *
 * <pre>{@code
 * sender.resendPending(lease);
 * Either<Failure, String> result = sender.send(order, lease);
 * }</pre>
 *
 * <p>An order is recorded before it is sent. If the response to an order was lost, the order is
 * sent again with the same body, also by the next holder of the lease.
 */
public final class OrderSender {
  private static final Logger log = LogManager.getLogger();

  private final DomainId domain;
  private final LeaseHolder holder;
  private final OrderStore store;
  private final Platform platform;
  private final Duration timeout;

  /**
   * Returns a sender.
   *
   * @param domain the failure domain
   * @param holder holds the lease
   * @param store the orders in the replicated log
   * @param platform receives the orders
   * @param timeout limit for one call
   */
  public OrderSender(
      DomainId domain, LeaseHolder holder, OrderStore store, Platform platform, Duration timeout) {
    this.domain = Objects.requireNonNull(domain, "domain");
    this.holder = Objects.requireNonNull(holder, "holder");
    this.store = Objects.requireNonNull(store, "store");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.timeout = Objects.requireNonNull(timeout, "timeout");
  }

  /**
   * Sends again every recorded order of the failure domain that the platform has not answered.
   *
   * @param lease the grant held now
   * @return whether no order is left pending
   */
  public boolean resendPending(Lease lease) {
    Either<Failure, List<Order>> pending = store.pendingOrders(domain);
    if (pending.isLeft()) {
      return false;
    }
    boolean allAnswered = true;
    for (Order order : pending.get()) {
      allAnswered &= deliver(order, lease).isRight();
    }
    return allAnswered;
  }

  /**
   * Records and sends a new order.
   *
   * @param order an order under the grant held now
   * @param lease the grant held now
   * @return the body of the platform's response, or a failure; the order stays pending if its
   *     outcome is unknown
   */
  public Either<Failure, String> send(Order order, Lease lease) {
    if (!holder.isValidFor(lease, timeout)) {
      return Either.left(Failure.of(ResultCode.LEASE_LOST));
    }
    Either<Failure, Void> recorded = store.record(order);
    return recorded.isLeft() ? Either.left(recorded.getLeft()) : deliver(order, lease);
  }

  private Either<Failure, String> deliver(Order order, Lease lease) {
    if (!holder.isValidFor(lease, timeout)) {
      return Either.left(Failure.of(ResultCode.LEASE_LOST));
    }
    Either<Failure, String> result =
        platform.sendOrder(
            order, lease.fencing(), timeout, () -> holder.isValidFor(lease, timeout));
    boolean rejected = result.isLeft() && isFinal(result.getLeft());
    if (result.isRight() || rejected) {
      store.complete(order, lease);
    }
    logResult(order, result);
    return result;
  }

  /** Returns whether the platform has rejected the order, so that a retry would fail again. */
  private static boolean isFinal(Failure failure) {
    return failure.code() == ResultCode.ORDER_CONFLICT
        || (failure.code() == ResultCode.UPSTREAM_REFUSED
            && failure.code().outcome() == Outcome.NOT_RUN);
  }

  private static void logResult(Order order, Either<Failure, String> result) {
    StringMapMessage message =
        new StringMapMessage()
            .with("event", "order.sent")
            .with("order_id", order.id())
            .with("domain", order.domain().value())
            .with("order", order.json());
    if (result.isLeft()) {
      message.with("code", result.getLeft().code().number());
    }
    log.info(message);
  }
}
