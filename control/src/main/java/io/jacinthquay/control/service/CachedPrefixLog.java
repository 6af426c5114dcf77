package io.jacinthquay.control.service;

import io.jacinthquay.wire.gen.PrefixReadMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A bounded log of the prefixes that upstreams have cached, by which routers learn of each other's.
 * Thread-safe.
 */
public final class CachedPrefixLog {
  /**
   * Number of entries that are kept for routers that have not called yet: some seconds of the
   * reports at the largest site.
   */
  private static final int MAX_ENTRIES = 2_048;

  /** Maximum number of entries in one response; the oldest are left out, since they matter less. */
  private static final int MAX_PER_RESPONSE = 400;

  /**
   * Most parts of prompts in all entries, so that a response fits into a message: it takes 1.5 MB
   * at most, and 5 MB as objects.
   */
  private static final int MAX_PARTS = 100_000;

  private record Entry(long number, String source, PrefixReadMessage message) {}

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long lastNumber;
  private int parts;

  /**
   * Adds the cached prefixes that a router or relay reported.
   *
   * @param source name of the router or address of the relay
   */
  public synchronized void add(String source, List<PrefixReadMessage> messages) {
    for (PrefixReadMessage message : messages) {
      lastNumber++;
      entries.addLast(new Entry(lastNumber, source, message));
      parts += message.getPartsSize();
      while (entries.size() > MAX_ENTRIES || parts > MAX_PARTS) {
        parts -= entries.removeFirst().message().getPartsSize();
      }
    }
  }

  /** Returns the number of the newest entry; 0 if there was none. */
  public synchronized long lastNumber() {
    return lastNumber;
  }

  /**
   * Returns the newest entries after a number, oldest first.
   *
   * @param number number of the last entry that the caller has received
   * @param caller name of the router or address of the relay, whose own entries are left out
   */
  public synchronized List<PrefixReadMessage> entriesAfter(long number, String caller) {
    List<PrefixReadMessage> messages = new ArrayList<>();
    var newestFirst = entries.descendingIterator();
    while (newestFirst.hasNext() && messages.size() < MAX_PER_RESPONSE) {
      Entry entry = newestFirst.next();
      if (entry.number() <= number) {
        break;
      }
      if (!entry.source().equals(caller)) {
        messages.add(0, entry.message());
      }
    }
    return messages;
  }
}
