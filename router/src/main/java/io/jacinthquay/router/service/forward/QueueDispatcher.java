package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.waiting.Verdict;
import io.jacinthquay.decision.waiting.Waiter;
import io.jacinthquay.decision.waiting.WaitingLine;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.EventThread;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Queues requests and offers them to upstreams; used on the I/O thread. */
final class QueueDispatcher {
  private static final Logger log = LogManager.getLogger();

  /** Interval at which queues are polled while a request waits, in milliseconds. */
  private static final long POLL_MILLIS = 10;

  private final WaitingLines waiting;
  private final Supplier<EventThread> thread;
  private final LongSupplier clock;
  private boolean pollScheduled;

  QueueDispatcher(WaitingLines waiting, Supplier<EventThread> thread, LongSupplier clock) {
    this.waiting = waiting;
    this.thread = thread;
    this.clock = clock;
  }

  /**
   * Queues a request until an upstream has capacity; may displace a less urgent request.
   *
   * @param now on the monotonic clock, in nanoseconds
   */
  Verdict<ForwardExchange> enqueue(Waiter<ForwardExchange> waiter, long now) {
    List<Verdict<ForwardExchange>> displaced = new ArrayList<>();
    ForwardExchange exchange = waiter.item();
    WaitingLine<ForwardExchange> line = waiting.line(waiter.work().pool());
    Verdict<ForwardExchange> verdict =
        line.add(waiter, () -> exchange.hasPlace(now), now, displaced);
    displaced.forEach(QueueDispatcher::shed);
    schedulePoll();
    return verdict;
  }

  /** Queues a request again that was sent and did not run. */
  void enqueueAgain(Waiter<ForwardExchange> waiter, long now) {
    waiting
        .line(waiter.work().pool())
        .addAgain(waiter, now, ThreadLocalRandom.current().nextDouble());
    schedulePoll();
  }

  private static void shed(Verdict<ForwardExchange> verdict) {
    verdict.item().shed(verdict);
  }

  private void schedulePoll() {
    if (!pollScheduled) {
      pollScheduled = true;
      thread
          .get()
          .after(
              POLL_MILLIS,
              () -> {
                pollScheduled = false;
                poll();
              });
    }
  }

  /** Schedules a poll of the queues because a request has ended or arrived behind others. */
  void pollSoon() {
    if (waiting.isAnyWaiting()) {
      thread.get().execute(this::poll);
    }
  }

  /** Sends waiting requests to upstreams with capacity and rejects those that wait in vain. */
  void poll() {
    long now = clock.getAsLong();
    for (WaitingLine<ForwardExchange> line : List.copyOf(waiting.lines())) {
      if (!line.isEmpty()) {
        Places places = new Places(now);
        line.offer(places, now);
        line.removeHopeless(places, now).forEach(QueueDispatcher::shed);
      }
    }
    if (waiting.isAnyWaiting()) {
      schedulePoll();
    }
  }

  /** Offers an upstream to a waiting request; one that fails must not hold up the queue. */
  private record Places(long now) implements WaitingLine.Places<ForwardExchange> {
    @Override
    public boolean hasPlace(ForwardExchange exchange) {
      return exchange.hasPlace(now);
    }

    @Override
    public boolean tryDispatch(ForwardExchange exchange) {
      try {
        return exchange.tryDispatch(now);
      } catch (RuntimeException e) {
        log.error("request {} failed in the router", exchange.attemptId(), e);
        exchange.giveUp(ResultCode.UPSTREAM_BROKE);
        return true;
      }
    }
  }
}
