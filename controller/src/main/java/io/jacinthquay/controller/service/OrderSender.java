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
 * sender.resendOpen(lease);
 * Either<Failure, String> answer = sender.send(order, lease);
 * }</pre>
 *
 * <p>An order is recorded before it is sent. One whose answer was lost is sent again with the same
 * body, also by the next holder of the lease.
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
   * @param holder keeps the lease
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
   * Sends again every order of the failure domain that was recorded and not answered.
   *
   * @param lease the grant held now
   * @return whether none is left open
   */
  public boolean resendOpen(Lease lease) {
    Either<Failure, List<Order>> open = store.open(domain);
    if (open.isLeft()) {
      return false;
    }
    boolean allAnswered = true;
    for (Order order : open.get()) {
      allAnswered &= deliver(order, lease).isRight();
    }
    return allAnswered;
  }

  /**
   * Records and sends a new order.
   *
   * @param order an order under the grant held now
   * @param lease the grant held now
   * @return the platform's answer, or a failure; the order stays open where its outcome is unknown
   */
  public Either<Failure, String> send(Order order, Lease lease) {
    if (!holder.outlasts(lease, timeout)) {
      return Either.left(Failure.of(ResultCode.LEASE_LOST));
    }
    Either<Failure, Void> recorded = store.record(order);
    return recorded.isLeft() ? Either.left(recorded.getLeft()) : deliver(order, lease);
  }

  private Either<Failure, String> deliver(Order order, Lease lease) {
    if (!holder.outlasts(lease, timeout)) {
      return Either.left(Failure.of(ResultCode.LEASE_LOST));
    }
    Either<Failure, String> answer =
        platform.order(order, lease.fencing(), timeout, () -> holder.outlasts(lease, timeout));
    boolean refused = answer.isLeft() && isFinal(answer.getLeft());
    if (answer.isRight() || refused) {
      store.complete(order, lease);
    }
    logAnswer(order, answer);
    return answer;
  }

  /** Returns whether the platform has refused, so that a resend would hear the same. */
  private static boolean isFinal(Failure failure) {
    return failure.code() == ResultCode.ORDER_CONFLICT
        || (failure.code() == ResultCode.UPSTREAM_REFUSED
            && failure.code().outcome() == Outcome.NOT_RUN);
  }

  private static void logAnswer(Order order, Either<Failure, String> answer) {
    StringMapMessage message =
        new StringMapMessage()
            .with("event", "order.sent")
            .with("order_id", order.id())
            .with("domain", order.domain().value())
            .with("order", order.json());
    if (answer.isLeft()) {
      message.with("code", answer.getLeft().code().number());
    }
    log.info(message);
  }
}
