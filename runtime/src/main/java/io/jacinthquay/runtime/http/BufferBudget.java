package io.jacinthquay.runtime.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A budget of bytes that many requests share; for use by any thread.
 *
 * <p>Requests of a usual size may go beyond it by a quarter, so that they don't fail while others
 * hold all of it.
 */
public final class BufferBudget {
  /** The part of the budget by which small reservations may exceed it. */
  private static final double SMALL_EXCESS = 0.25;

  /** Frees bytes when the budget is short. */
  @FunctionalInterface
  public interface Reclaimer {
    /**
     * Closes holders, whose bytes are released before this method returns or soon after.
     *
     * @param missingBytes how many bytes are missing
     */
    void reclaim(long missingBytes);
  }

  private final long maxBytes;
  private final AtomicLong freeBytes;
  private volatile Reclaimer reclaimer = missingBytes -> {};

  /** Returns a budget of the given size, of which nothing is reserved. */
  public BufferBudget(long bytes) {
    this.maxBytes = bytes;
    this.freeBytes = new AtomicLong(bytes);
  }

  /** Sets what frees bytes when the budget is short. */
  public void setReclaimer(Reclaimer newReclaimer) {
    reclaimer = newReclaimer;
  }

  /** Reserves a number of bytes; returns false if fewer are free and can't be reclaimed. */
  public boolean tryReserve(long bytes) {
    return tryReserve(bytes, 0);
  }

  /** Reserves a small number of bytes, if need be by exceeding the budget by a quarter. */
  public boolean tryReserveSmall(long bytes) {
    return tryReserve(bytes, (long) (SMALL_EXCESS * maxBytes));
  }

  private boolean tryReserve(long bytes, long excess) {
    if (take(bytes, excess)) {
      return true;
    }
    reclaimer.reclaim(bytes - excess - freeBytes.get());
    return take(bytes, excess);
  }

  private boolean take(long bytes, long excess) {
    if (freeBytes.addAndGet(-bytes) >= -excess) {
      return true;
    }
    freeBytes.addAndGet(bytes);
    return false;
  }

  /** Returns reserved bytes to the budget. */
  public void release(long bytes) {
    freeBytes.addAndGet(bytes);
  }

  /** Returns the size of the budget. */
  public long maxBytes() {
    return maxBytes;
  }

  /** Returns the reserved bytes. */
  public long heldBytes() {
    return maxBytes - freeBytes.get();
  }

  /** Returns whether more is reserved than the size of the budget. */
  public boolean isExceeded() {
    return freeBytes.get() < 0;
  }

  /**
   * The reservation of one request, which grows and shrinks; used by one thread at a time.
   *
   * <p>A small number of bytes is reserved with {@link #tryReserveSmall}, so that requests of a
   * usual size don't depend on the others.
   */
  public static final class Reservation {
    private final BufferBudget budget;
    private final long smallBytes;
    private long reservedBytes;

    private Reservation(BufferBudget budget, long smallBytes) {
      this.budget = budget;
      this.smallBytes = smallBytes;
    }

    /**
     * Returns an empty reservation that counts all bytes.
     *
     * @param smallBytes bytes that may exceed the budget
     */
    public static Reservation ofAll(BufferBudget budget, long smallBytes) {
      return new Reservation(budget, smallBytes);
    }

    /**
     * Changes the number of bytes that the request holds.
     *
     * @return false if the budget has too few free bytes, which leaves the reservation as it was; a
     *     smaller number than before always fits
     */
    public boolean tryResize(long heldBytes) {
      long addedBytes = heldBytes - reservedBytes;
      if (addedBytes > 0) {
        // Adds rather than sets: the budget may release this reservation to make room.
        boolean reserved = reserve(addedBytes, heldBytes);
        reservedBytes += reserved ? addedBytes : 0;
        return reserved;
      }
      if (heldBytes < reservedBytes) {
        budget.release(reservedBytes - heldBytes);
      }
      reservedBytes = heldBytes;
      return true;
    }

    private boolean reserve(long addedBytes, long heldBytes) {
      return heldBytes <= smallBytes
          ? budget.tryReserveSmall(addedBytes)
          : budget.tryReserve(addedBytes);
    }

    /** Returns the reserved bytes. */
    public long reservedBytes() {
      return reservedBytes;
    }

    /** Releases all bytes. */
    public void release() {
      budget.release(reservedBytes);
      reservedBytes = 0;
    }
  }
}
