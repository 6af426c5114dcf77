package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerHead;
import io.jacinthquay.router.port.CallerListener;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Requests that arrive at a router which has just started and knows no document or upstreams yet.
 *
 * <p>Answers the load right after all processes were killed: callers come at once, the document
 * follows in about a second, and most of them are still on target after that wait, while a refusal
 * costs them their only retry. Used on the I/O thread.
 */
final class StartHold {
  /** Share of the time that a caller waits which may go by here, so that it can still return. */
  private static final double SHARE_OF_WAIT = 0.5;

  /** Most requests held; a caller's connection and body stay in memory for each. */
  private static final int MOST_HELD = 256;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * One request.
   *
   * @param head its head
   * @param body its whole body
   * @param caller the way back
   * @param arrivedNanos when its head had arrived, on the monotonic clock
   */
  record Held(CallerHead head, byte[] body, Caller caller, long arrivedNanos) {}

  private static final class Waiting implements CallerListener {
    private final Held held;
    private final Consumer<Held> onward;
    private final Consumer<Held> refusal;
    private final Runnable forget;
    private Runnable timer = () -> {};
    private boolean done;

    Waiting(Held held, Consumer<Held> onward, Consumer<Held> refusal, Consumer<Waiting> forget) {
      this.held = held;
      this.onward = onward;
      this.refusal = refusal;
      this.forget = () -> forget.accept(this);
    }

    private void end(Consumer<Held> next) {
      if (!done) {
        done = true;
        timer.run();
        forget.run();
        next.accept(held);
      }
    }

    @Override
    public void onWritable() {
      // Nothing is written while a request is held.
    }

    @Override
    public void onGone() {
      end(left -> {});
    }
  }

  private final long startedNanos;
  private final long holdNanos;
  private final List<Waiting> waiting = new CopyOnWriteArrayList<>();

  /**
   * Returns a hold without requests.
   *
   * @param startedNanos when the router started, on the monotonic clock
   * @param hold time after the start in which requests are held
   */
  StartHold(long startedNanos, Duration hold) {
    this.startedNanos = startedNanos;
    this.holdNanos = hold.toNanos();
  }

  /** Returns whether a request may be held now. */
  boolean isOpen(long now) {
    return now - startedNanos < holdNanos && waiting.size() < MOST_HELD;
  }

  /**
   * Holds a request.
   *
   * @param waitMillis how long its caller waits, if it says so
   * @param onward takes the request once it is released
   * @param refusal takes the request once it was held for too long
   */
  void add(Held held, OptionalLong waitMillis, Consumer<Held> onward, Consumer<Held> refusal) {
    Waiting entry = new Waiting(held, onward, refusal, waiting::remove);
    held.caller().listener(entry);
    long now = System.nanoTime();
    long left = (holdNanos - (now - startedNanos)) / NANOS_PER_MILLI;
    long patience = (long) (waitMillis.orElse(Long.MAX_VALUE) * SHARE_OF_WAIT);
    entry.timer =
        held.caller()
            .thread()
            .after(Math.max(1, Math.min(left, patience)), () -> entry.end(entry.refusal));
    waiting.add(entry);
  }

  /** Returns how many are held; any thread may ask. */
  int size() {
    return waiting.size();
  }

  /** Lets all that are held go on, in the order in which they came. */
  void release() {
    waiting.forEach(entry -> entry.end(entry.onward));
  }
}
