package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import java.util.List;

/** The last list of upstreams that was polled from the platform. Thread-safe. */
public final class UpstreamListCache {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private List<UpstreamListing> listings = List.of();
  private long number;
  private long measuredNanos;
  private long polledNanos;

  /**
   * The list at one poll.
   *
   * @param listings the upstreams
   * @param number number that grows whenever the list changes; 0 before the first poll
   * @param measuredNanos when the remaining cold start times in it were true, on the monotonic
   *     clock
   * @param polledNanos when the platform was last polled for it, on the monotonic clock
   */
  public record Snapshot(
      List<UpstreamListing> listings, long number, long measuredNanos, long polledNanos) {
    /** Returns the age of the remaining cold start times, in milliseconds. */
    public long ageMillis(long now) {
      return (now - measuredNanos) / NANOS_PER_MILLI;
    }
  }

  /**
   * Replaces the list. A change of the remaining cold start times alone doesn't change its number.
   *
   * @param measuredAtNanos when the remaining cold start times in it were true, on the monotonic
   *     clock
   * @param polledAtNanos when the platform was polled for it, on the monotonic clock
   */
  public synchronized void update(
      List<UpstreamListing> newListings, long measuredAtNanos, long polledAtNanos) {
    measuredNanos = measuredAtNanos;
    polledNanos = polledAtNanos;
    if (number == 0 || !fingerprint(newListings).equals(fingerprint(listings))) {
      number++;
    }
    listings = List.copyOf(newListings);
  }

  /** Records that the platform was polled again and its list is the same. */
  public synchronized void recordUnchanged(long polledAtNanos) {
    polledNanos = polledAtNanos;
  }

  private static List<String> fingerprint(List<UpstreamListing> listings) {
    return listings.stream()
        .map(
            listing ->
                listing.upstream()
                    + " "
                    + listing.draining()
                    + " "
                    + (listing.coldMillis() > 0)
                    + listing.address())
        .sorted()
        .toList();
  }

  /** Returns the last list. */
  public synchronized Snapshot snapshot() {
    return new Snapshot(listings, number, measuredNanos, polledNanos);
  }
}
