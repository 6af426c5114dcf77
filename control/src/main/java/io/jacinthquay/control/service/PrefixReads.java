package io.jacinthquay.control.service;

import io.jacinthquay.wire.gen.PrefixReadMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Passes on between routers which upstream has read which shared beginning. */
public final class PrefixReads {
  /** Reads that are kept for routers that have not asked yet: seconds of the largest site. */
  private static final int KEPT = 2_048;

  /** Most reads in one answer; more are left out, since older ones matter less. */
  private static final int MOST_AT_ONCE = 400;

  private record Read(long number, String router, PrefixReadMessage message) {}

  private final Deque<Read> reads = new ArrayDeque<>();
  private long number;

  /** Takes in what one router sent. */
  public synchronized void add(String router, List<PrefixReadMessage> messages) {
    for (PrefixReadMessage message : messages) {
      number++;
      reads.addLast(new Read(number, router, message));
    }
    while (reads.size() > KEPT) {
      reads.pollFirst();
    }
  }

  /** Returns the number of the newest read. */
  public synchronized long number() {
    return number;
  }

  /** Returns the reads of other routers after a number, oldest first. */
  public synchronized List<PrefixReadMessage> after(long seen, String router) {
    List<PrefixReadMessage> found = new ArrayList<>();
    var newest = reads.descendingIterator();
    while (newest.hasNext() && found.size() < MOST_AT_ONCE) {
      Read read = newest.next();
      if (read.number() <= seen) {
        break;
      }
      if (!read.router().equals(router)) {
        found.add(0, read.message());
      }
    }
    return found;
  }
}
