package io.jacinthquay.keeper.state;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.CompleteOrderCommand;
import io.jacinthquay.wire.gen.OrderRecord;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.TreeMap;
import java.util.List;
import java.util.Optional;

/**
 * Orders to the platform and to upstreams. Each order is recorded before it is sent.
 *
 * @param open orders that are not known to be completed, by id
 * @param done completed orders, oldest first
 */
public record OrderTable(
    TreeMap<String, OrderRecord> open, LinkedHashMap<String, OrderRecord> done) {
  /** Maximum number of completed orders; the oldest are evicted first. */
  static final int MAX_DONE = 10_000;

  /** Maximum number of open orders; further ones are rejected. */
  static final int MAX_OPEN = 50_000;

  static final OrderTable EMPTY = new OrderTable(TreeMap.empty(), LinkedHashMap.empty());

  TableUpdate<OrderTable> record(OrderRecord order, boolean leaseHeld) {
    Optional<OrderRecord> earlier =
        open.get(order.getOrderId()).orElse(() -> done.get(order.getOrderId())).toJavaOptional();
    if (earlier.isPresent()) {
      boolean same = sameOrder(earlier.get(), order);
      return new TableUpdate<>(
          this, same ? CommandAnswers.done() : CommandAnswers.failure(ResultCode.ORDER_CONFLICT));
    }
    if (!leaseHeld) {
      return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.LEASE_LOST));
    }
    if (open.size() >= MAX_OPEN) {
      return new TableUpdate<>(
          this,
          CommandAnswers.failure(ResultCode.ORDER_CONFLICT, "there are too many open orders"));
    }
    OrderRecord recorded = new OrderRecord(order).setDone(false);
    return new TableUpdate<>(
        new OrderTable(open.put(recorded.getOrderId(), recorded), done), CommandAnswers.done());
  }

  private static boolean sameOrder(OrderRecord a, OrderRecord b) {
    return new OrderRecord(a).setDone(false).equals(new OrderRecord(b).setDone(false));
  }

  TableUpdate<OrderTable> complete(CompleteOrderCommand command, boolean leaseHeld) {
    String id = command.getOrderId();
    if (done.containsKey(id)) {
      return new TableUpdate<>(this, CommandAnswers.done());
    }
    Optional<OrderRecord> order = open.get(id).toJavaOptional();
    if (order.isEmpty()) {
      return new TableUpdate<>(
          this, CommandAnswers.failure(ResultCode.ENTITY_UNKNOWN, "no such order"));
    }
    if (!leaseHeld) {
      return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.LEASE_LOST));
    }
    return new TableUpdate<>(
        new OrderTable(open.remove(id), done)
            .withRestored(new OrderRecord(order.get()).setDone(true)),
        CommandAnswers.done());
  }

  /** Returns the open orders of a failure domain, by id. */
  public List<OrderRecord> openIn(String domain) {
    return open.values().filter(order -> domain.equals(order.getDomain())).asJava();
  }

  OrderTable withRestored(OrderRecord order) {
    if (!order.isDone()) {
      return new OrderTable(open.put(order.getOrderId(), order), done);
    }
    LinkedHashMap<String, OrderRecord> next = done.put(order.getOrderId(), order);
    return new OrderTable(open, next.size() > MAX_DONE ? next.tail() : next);
  }
}
