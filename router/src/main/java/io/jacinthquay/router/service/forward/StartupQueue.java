package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.RequestHead;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Queues requests that arrive before a newly started router knows its routing document and
 * upstreams.
 *
 * <p>Callers reconnect at once after a restart of all processes, while the document arrives about a
 * second later. Most requests still meet their target after this wait, whereas a refusal would use
 * up their only retry. Used on the I/O thread.
 */
final class StartupQueue {
  /** Longest time in the queue as a share of the caller's timeout; leaves time for a retry. */
  private static final double MAX_WAIT_SHARE = 0.5;

  /** Maximum number of queued requests; each keeps its connection and body in memory. */
  private static final int MAX_QUEUED = 256;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * A queued request.
   *
   * @param head its head
   * @param body its whole body
   * @param caller its caller, which gets the answer
   * @param arrivedNanos when its head arrived, on the monotonic clock
   */
  record QueuedRequest(RequestHead head, byte[] body, Caller caller, long arrivedNanos) {}

  private static final class Entry implements CallerListener {
    private final QueuedRequest request;
    private final Consumer<QueuedRequest> onRelease;
    private final Consumer<QueuedRequest> onExpiry;
    private final Runnable remove;
    private Runnable timer = () -> {};
    private boolean done;

    Entry(
        QueuedRequest request,
        Consumer<QueuedRequest> onRelease,
        Consumer<QueuedRequest> onExpiry,
        Consumer<Entry> remove) {
      this.request = request;
      this.onRelease = onRelease;
      this.onExpiry = onExpiry;
      this.remove = () -> remove.accept(this);
    }

    private void end(Consumer<QueuedRequest> handler) {
      if (!done) {
        done = true;
        timer.run();
        remove.run();
        handler.accept(request);
      }
    }

    @Override
    public void onWritable() {
      // Nothing is written while a request is queued.
    }

    @Override
    public void onDisconnect(DisconnectReason reason) {
      end(gone -> {});
    }
  }

  private final long startedNanos;
  private final long holdNanos;
  private final List<Entry> entries = new CopyOnWriteArrayList<>();

  /**
   * Returns an empty queue.
   *
   * @param startedNanos when the router started, on the monotonic clock
   * @param hold time after startup during which requests are queued
   */
  StartupQueue(long startedNanos, Duration hold) {
    this.startedNanos = startedNanos;
    this.holdNanos = hold.toNanos();
  }

  /** Returns whether a request may be queued now. */
  boolean accepts(long now) {
    return now - startedNanos < holdNanos && entries.size() < MAX_QUEUED;
  }

  /**
   * Queues a request.
   *
   * @param waitMillis the timeout of its caller in milliseconds, if it is known
   * @param onRelease called with the request when it is released
   * @param onExpiry called with the request when it was queued for too long
   */
  void add(
      QueuedRequest request,
      OptionalLong waitMillis,
      Consumer<QueuedRequest> onRelease,
      Consumer<QueuedRequest> onExpiry) {
    Entry entry = new Entry(request, onRelease, onExpiry, entries::remove);
    request.caller().setListener(entry);
    long now = System.nanoTime();
    long leftMillis = (holdNanos - (now - startedNanos)) / NANOS_PER_MILLI;
    long maxWaitMillis = (long) (waitMillis.orElse(Long.MAX_VALUE) * MAX_WAIT_SHARE);
    entry.timer =
        request
            .caller()
            .thread()
            .after(
                Math.max(1, Math.min(leftMillis, maxWaitMillis)), () -> entry.end(entry.onExpiry));
    entries.add(entry);
  }

  /** Returns the number of queued requests; may be called from any thread. */
  int size() {
    return entries.size();
  }

  /** Ends the wait of all queued requests as if their time in the queue had passed. */
  void expire() {
    entries.forEach(entry -> entry.end(entry.onExpiry));
  }

  /** Releases all queued requests in the order of their arrival. */
  void release() {
    entries.forEach(entry -> entry.end(entry.onRelease));
  }
}
