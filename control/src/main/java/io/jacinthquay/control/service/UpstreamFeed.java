package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import java.util.List;

/** The platform's list as it was read last. */
public final class UpstreamFeed {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private List<UpstreamListing> listings = List.of();
  private long number;
  private long toldNanos;
  private long readNanos;

  /**
   * One reading of the list.
   *
   * @param listings the upstreams
   * @param number grows whenever the list changes; 0 before the first reading
   * @param toldNanos when the times in it were true, on the monotonic clock
   * @param readNanos when the platform was asked for it last, on the monotonic clock
   */
  public record Reading(
      List<UpstreamListing> listings, long number, long toldNanos, long readNanos) {
    /** Returns for how long the times in it have been going on, in milliseconds. */
    public long ageMillis(long now) {
      return (now - toldNanos) / NANOS_PER_MILLI;
    }
  }

  /**
   * Takes in a list; the time that upstreams stay cold does not make it another one.
   *
   * @param atNanos when the times in it were true, on the monotonic clock
   * @param askedNanos when the platform was asked for it
   */
  public synchronized void read(List<UpstreamListing> newer, long atNanos, long askedNanos) {
    toldNanos = atNanos;
    readNanos = askedNanos;
    if (number == 0 || !shape(newer).equals(shape(listings))) {
      number++;
    }
    listings = List.copyOf(newer);
  }

  /** Takes in that the platform was asked again and its list is the same. */
  public synchronized void unchanged(long askedNanos) {
    readNanos = askedNanos;
  }

  private static List<String> shape(List<UpstreamListing> list) {
    return list.stream()
        .map(l -> l.upstream() + " " + l.draining() + " " + (l.coldMillis() > 0) + l.address())
        .sorted()
        .toList();
  }

  /** Returns the last reading. */
  public synchronized Reading reading() {
    return new Reading(listings, number, toldNanos, readNanos);
  }
}
