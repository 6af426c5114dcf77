package io.jacinthquay.runtime.http;

import io.jacinthquay.runtime.LogThrottle;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The memory that responses of servers may take in sum over all connections of a client.
 *
 * <p>When it is used up, the largest responses are given up, so that a faulty server can't make
 * usual responses of the others fail. These may go beyond it by a quarter, since the memory of the
 * largest counts until their owners have dropped them.
 *
 * <p>For use by any thread.
 */
public final class AnswerMemory {
  private static final Logger log = LogManager.getLogger();

  /** The same part of the heap as for unfinished heads of callers. */
  private static final int HEAP_PARTS = 8;

  /** The part of the memory by which small responses may exceed it. */
  private static final double SMALL_EXCESS = 0.25;

  /** Each shortage frees an eighth of the whole, so that not every read has to look again. */
  private static final int FREED_PART = 8;

  private final long maxBytes;
  private final Set<Holding> holdings = new HashSet<>();
  private long heldBytes;
  private long givenUpBytes;
  private final AtomicLong givenUp = new AtomicLong();
  private final LogThrottle lines = new LogThrottle(System.nanoTime());

  /** Returns a memory of an eighth of the heap. */
  public AnswerMemory() {
    this(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
  }

  /** Returns a memory of the given size. */
  public AnswerMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns a holding without memory.
   *
   * @param smallBytes bytes that a response may hold while others hold all of the memory
   * @param thread runs the callback
   * @param onGivenUp called once the response was given up for others; it must drop the response
   *     and call {@link Holding#release}
   */
  public Holding newHolding(long smallBytes, Executor thread, Runnable onGivenUp) {
    return new Holding(smallBytes, thread, onGivenUp);
  }

  /** Records that a response was given up, and logs the reason unless that was done just before. */
  void recordGivenUp(Object server, String reason) {
    long count = givenUp.incrementAndGet();
    if (lines.tryAcquire(System.nanoTime())) {
      log.warn("gave up a response of {}: {} ({} since the start)", server, reason, count);
    }
  }

  private void recordGivenUpForOthers(int responses) {
    long count = givenUp.addAndGet(responses);
    if (lines.tryAcquire(System.nanoTime())) {
      log.warn(
          "short of memory for responses: gave up the {} largest ({} since the start)",
          responses,
          count);
    }
  }

  /** Returns how many bytes responses hold. */
  public synchronized long heldBytes() {
    return heldBytes;
  }

  /** Returns the number of responses given up so far. */
  public long givenUp() {
    return givenUp.get();
  }

  /** Gives up the largest responses above a size until a number of bytes gets free, and more. */
  private List<Holding> giveUpLargest(long sizeBytes, long neededBytes) {
    long targetBytes = maxBytes - neededBytes - maxBytes / FREED_PART;
    if (heldBytes - givenUpBytes <= targetBytes) {
      return List.of();
    }
    List<Holding> larger =
        holdings.stream()
            .filter(each -> !each.givenUp && each.bytes > sizeBytes)
            .sorted(Comparator.comparingLong((Holding each) -> each.bytes).reversed())
            .toList();
    List<Holding> chosen = new ArrayList<>();
    for (Holding next : larger) {
      if (heldBytes - givenUpBytes <= targetBytes) {
        break;
      }
      next.giveUp();
      chosen.add(next);
    }
    return chosen;
  }

  /** The memory of one response; used by one thread, but given up by any. */
  public final class Holding {
    private final long smallBytes;
    private final Executor thread;
    private final Runnable onGivenUp;
    private long bytes;
    private boolean givenUp;

    private Holding(long smallBytes, Executor thread, Runnable onGivenUp) {
      this.smallBytes = smallBytes;
      this.thread = thread;
      this.onGivenUp = onGivenUp;
    }

    /**
     * Changes the number of bytes that the response holds; a smaller number always fits.
     *
     * @return false if too little is left or the response was given up for others; it must then be
     *     dropped
     */
    public boolean tryResize(long newBytes) {
      List<Holding> largest = List.of();
      boolean resized;
      synchronized (AnswerMemory.this) {
        long addedBytes = newBytes - bytes;
        if (!givenUp && heldBytes + addedBytes > maxBytes) {
          largest = giveUpLargest(newBytes, addedBytes);
        }
        resized = !givenUp && fits(addedBytes, newBytes);
        if (resized) {
          set(newBytes);
        } else if (!givenUp) {
          giveUp();
        }
      }
      if (!largest.isEmpty()) {
        recordGivenUpForOthers(largest.size());
        largest.forEach(Holding::notifyOwner);
      }
      return resized;
    }

    private boolean fits(long addedBytes, long newBytes) {
      long excessBytes = newBytes <= smallBytes ? (long) (SMALL_EXCESS * maxBytes) : 0;
      return addedBytes <= 0 || heldBytes + addedBytes <= maxBytes + excessBytes;
    }

    private void set(long newBytes) {
      heldBytes += newBytes - bytes;
      bytes = newBytes;
      if (newBytes > 0) {
        holdings.add(this);
      } else {
        holdings.remove(this);
      }
    }

    private void giveUp() {
      givenUp = true;
      givenUpBytes += bytes;
    }

    private void notifyOwner() {
      try {
        thread.execute(
            () -> {
              if (isGivenUp()) {
                onGivenUp.run();
              }
            });
      } catch (RejectedExecutionException e) {
        log.debug("the thread of a response has ended: {}", e.getMessage());
      }
    }

    /** Returns whether no memory is left for the response. */
    public boolean isGivenUp() {
      synchronized (AnswerMemory.this) {
        return givenUp;
      }
    }

    /** Releases all bytes; the holding may be used for another response. */
    public void release() {
      synchronized (AnswerMemory.this) {
        givenUpBytes -= givenUp ? bytes : 0;
        givenUp = false;
        set(0);
      }
    }
  }
}
