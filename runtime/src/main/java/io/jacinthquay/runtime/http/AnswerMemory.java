package io.jacinthquay.runtime.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The memory that responses of servers may take in sum over all connections of a client.
 *
 * <p>For use by any thread.
 */
public final class AnswerMemory {
  private static final Logger log = LogManager.getLogger();

  /** The same part of the heap as for unfinished heads of callers. */
  private static final int HEAP_PARTS = 8;

  /** Shortest time between two log lines; a faulty server may be called often. */
  private static final long LOG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final BufferBudget budget;
  private final AtomicLong givenUp = new AtomicLong();
  private final AtomicLong loggedNanos = new AtomicLong(System.nanoTime() - LOG_NANOS);

  /** Returns a memory of an eighth of the heap. */
  public AnswerMemory() {
    this(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
  }

  /** Returns a memory of the given size. */
  AnswerMemory(long bytes) {
    budget = new BufferBudget(bytes);
  }

  /**
   * Returns an empty reservation.
   *
   * @param smallBytes bytes that a response may hold while others hold all of the memory
   */
  BufferBudget.Reservation newReservation(long smallBytes) {
    return BufferBudget.Reservation.ofAll(budget, smallBytes);
  }

  /** Records that a response was given up, and logs the reason unless that was done just before. */
  void recordGivenUp(Object server, String reason) {
    long count = givenUp.incrementAndGet();
    long now = System.nanoTime();
    long last = loggedNanos.get();
    if (now - last >= LOG_NANOS && loggedNanos.compareAndSet(last, now)) {
      log.warn("gave up a response of {}: {} ({} since the start)", server, reason, count);
    }
  }

  /** Returns how many bytes responses hold. */
  public long heldBytes() {
    return budget.heldBytes();
  }

  /** Returns the number of responses given up so far. */
  public long givenUp() {
    return givenUp.get();
  }
}
