package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import java.util.List;

/**
 * The last list of upstreams that was polled from the platform, by this VM or by the leader. An
 * older list never replaces a newer one. Thread-safe.
 */
public final class UpstreamListCache {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Time in nanoseconds for which a search of a router counts. Routers that find no leader ask each
   * VM again within it, also after timeouts at two others.
   */
  private static final long SEARCH_NANOS = 3_000_000_000L;

  private List<UpstreamListing> listings = List.of();
  private long lastNumber;
  private long number;
  private boolean searched;
  private long searchedNanos;
  private long measuredNanos;
  private long polledNanos;

  /** Returns an empty cache that numbers its lists from 1. */
  public UpstreamListCache() {
    this(0);
  }

  /**
   * Returns an empty cache.
   *
   * @param numberBefore the number before that of the first list. Processes that follow each other
   *     at one address need numbers that differ, since routers tell by the number which list they
   *     hold of an address.
   */
  public UpstreamListCache(long numberBefore) {
    this.lastNumber = numberBefore;
  }

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
   * Replaces the list unless it is newer. A change of the remaining cold start times alone doesn't
   * change its number.
   *
   * @param measuredAtNanos when the remaining cold start times in it were true, on the monotonic
   *     clock
   * @param polledAtNanos when the platform was polled for it, on the monotonic clock
   * @return whether the list was replaced
   */
  public synchronized boolean update(
      List<UpstreamListing> newListings, long measuredAtNanos, long polledAtNanos) {
    if (number > 0 && polledAtNanos - polledNanos < 0) {
      return false;
    }
    measuredNanos = measuredAtNanos;
    polledNanos = polledAtNanos;
    if (number == 0 || !fingerprint(newListings).equals(fingerprint(listings))) {
      lastNumber++;
      number = lastNumber;
    }
    listings = List.copyOf(newListings);
    return true;
  }

  /** Records that the platform was polled again and its list is the same. */
  public synchronized void recordUnchanged(long polledAtNanos) {
    if (polledAtNanos - polledNanos > 0) {
      polledNanos = polledAtNanos;
    }
  }

  /** Records that a router without a recent list found no leader and asked this VM. */
  public synchronized void recordSearch(long now) {
    searched = true;
    searchedNanos = now;
  }

  /** Returns whether a router without a recent list asked this VM a moment ago. */
  public synchronized boolean isSearched(long now) {
    return searched && now - searchedNanos < SEARCH_NANOS;
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
                    + " "
                    + listing.version()
                    + " "
                    + listing.address())
        .sorted()
        .toList();
  }

  /** Returns the last list. */
  public synchronized Snapshot snapshot() {
    return new Snapshot(listings, number, measuredNanos, polledNanos);
  }
}
