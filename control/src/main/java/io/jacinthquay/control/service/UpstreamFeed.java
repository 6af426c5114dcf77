package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.Listing;
import java.util.List;

/** The platform's list as it was read last. */
public final class UpstreamFeed {
  private List<Listing> listings = List.of();
  private long number;
  private long readNanos;

  /**
   * One reading of the list.
   *
   * @param listings the upstreams
   * @param number grows whenever the list changes; 0 before the first reading
   * @param readNanos when it was asked for, on the monotonic clock
   */
  public record Reading(List<Listing> listings, long number, long readNanos) {}

  /** Takes in a list; the time that upstreams stay cold does not make it another one. */
  public synchronized void read(List<Listing> newer, long askedNanos) {
    readNanos = askedNanos;
    if (number == 0 || !shape(newer).equals(shape(listings))) {
      number++;
    }
    listings = List.copyOf(newer);
  }

  private static List<String> shape(List<Listing> list) {
    return list.stream()
        .map(l -> l.upstream() + " " + l.draining() + " " + (l.coldMillis() > 0) + l.address())
        .sorted()
        .toList();
  }

  /** Returns the last reading. */
  public synchronized Reading reading() {
    return new Reading(listings, number, readNanos);
  }
}
