package io.jacinthquay.keeper.state;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.CompleteOrderCommand;
import io.jacinthquay.wire.gen.OrderRecord;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.TreeMap;
import java.util.List;
import java.util.Optional;

/**
 * Orders to the platform and to upstreams, recorded before they are sent.
 *
 * @param open orders that are not known to be carried out, by id
 * @param done orders that were, oldest first
 */
public record OrderTable(
    TreeMap<String, OrderRecord> open, LinkedHashMap<String, OrderRecord> done) {
  /** Orders that are remembered once carried out. */
  static final int MOST_DONE = 10_000;

  /** Most open orders; further ones are refused. */
  static final int MOST_OPEN = 50_000;

  static final OrderTable EMPTY = new OrderTable(TreeMap.empty(), LinkedHashMap.empty());

  Step<OrderTable> record(OrderRecord order, boolean leaseHeld) {
    Optional<OrderRecord> earlier =
        open.get(order.getOrderId()).orElse(() -> done.get(order.getOrderId())).toJavaOptional();
    if (earlier.isPresent()) {
      boolean same = sameOrder(earlier.get(), order);
      return new Step<>(this, same ? Answers.done() : Answers.failure(ResultCode.ORDER_CONFLICT));
    }
    if (!leaseHeld) {
      return new Step<>(this, Answers.failure(ResultCode.LEASE_LOST));
    }
    if (open.size() >= MOST_OPEN) {
      return new Step<>(
          this, Answers.failure(ResultCode.ORDER_CONFLICT, "there are too many open orders"));
    }
    OrderRecord kept = new OrderRecord(order).setDone(false);
    return new Step<>(new OrderTable(open.put(kept.getOrderId(), kept), done), Answers.done());
  }

  private static boolean sameOrder(OrderRecord a, OrderRecord b) {
    return new OrderRecord(a).setDone(false).equals(new OrderRecord(b).setDone(false));
  }

  Step<OrderTable> complete(CompleteOrderCommand command, boolean leaseHeld) {
    String id = command.getOrderId();
    if (done.containsKey(id)) {
      return new Step<>(this, Answers.done());
    }
    Optional<OrderRecord> order = open.get(id).toJavaOptional();
    if (order.isEmpty()) {
      return new Step<>(this, Answers.failure(ResultCode.ENTITY_UNKNOWN, "no such order"));
    }
    if (!leaseHeld) {
      return new Step<>(this, Answers.failure(ResultCode.LEASE_LOST));
    }
    return new Step<>(
        new OrderTable(open.remove(id), done).restored(new OrderRecord(order.get()).setDone(true)),
        Answers.done());
  }

  /** Returns the open orders of a failure domain, by id. */
  public List<OrderRecord> openIn(String domain) {
    return open.values().filter(order -> domain.equals(order.getDomain())).asJava();
  }

  OrderTable restored(OrderRecord order) {
    if (!order.isDone()) {
      return new OrderTable(open.put(order.getOrderId(), order), done);
    }
    LinkedHashMap<String, OrderRecord> next = done.put(order.getOrderId(), order);
    return new OrderTable(open, next.size() > MOST_DONE ? next.tail() : next);
  }
}
