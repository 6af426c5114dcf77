package io.jacinthquay.router.port;

import java.util.concurrent.atomic.AtomicLong;

/** A budget of bytes that many requests share; for use by any thread. */
public final class BufferBudget {
  private final AtomicLong freeBytes;

  /** Returns a budget of the given size, of which nothing is reserved. */
  public BufferBudget(long bytes) {
    this.freeBytes = new AtomicLong(bytes);
  }

  /** Reserves a number of bytes; returns false if fewer are free. */
  public boolean tryReserve(long bytes) {
    long remaining = freeBytes.addAndGet(-bytes);
    if (remaining >= 0) {
      return true;
    }
    freeBytes.addAndGet(bytes);
    return false;
  }

  /** Returns reserved bytes to the budget. */
  public void release(long bytes) {
    freeBytes.addAndGet(bytes);
  }

  /**
   * The reservation of one request, which grows and shrinks; used by one thread at a time.
   *
   * <p>A small part isn't counted, so that requests of a usual size never depend on the others.
   */
  public static final class Reservation {
    private final BufferBudget budget;
    private final long ownBytes;
    private long reservedBytes;

    /**
     * Returns an empty reservation.
     *
     * @param ownBytes bytes that the request may hold outside the budget
     */
    public Reservation(BufferBudget budget, long ownBytes) {
      this.budget = budget;
      this.ownBytes = ownBytes;
    }

    /**
     * Changes the number of bytes that the request holds.
     *
     * @return false if the budget has too few free bytes, which leaves the reservation as it was; a
     *     smaller number than before always fits
     */
    public boolean tryResize(long heldBytes) {
      long neededBytes = Math.max(0, heldBytes - ownBytes);
      if (neededBytes > reservedBytes && !budget.tryReserve(neededBytes - reservedBytes)) {
        return false;
      }
      if (neededBytes < reservedBytes) {
        budget.release(reservedBytes - neededBytes);
      }
      reservedBytes = neededBytes;
      return true;
    }

    /** Releases all bytes. */
    public void release() {
      budget.release(reservedBytes);
      reservedBytes = 0;
    }
  }
}
