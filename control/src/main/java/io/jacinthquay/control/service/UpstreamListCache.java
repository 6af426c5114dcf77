package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.runtime.time.ClockReading;
import java.util.List;
import java.util.function.Supplier;

/**
 * The last list of upstreams that was polled from the platform, by this VM or by the leader. An
 * older list never replaces a newer one. If this VM was suspended, the times of polls before are
 * moved back by that time, which the monotonic clock doesn't count. Thread-safe.
 */
public final class UpstreamListCache {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Time in nanoseconds for which a search of a router counts. Routers that find no leader ask each
   * VM again within it, also after timeouts at two others.
   */
  private static final long SEARCH_NANOS = 3_000_000_000L;

  private final Supplier<ClockReading> clock;
  private ClockReading lastReading;

  /** When the end of the last suspension was noticed, and how long it was. */
  private long resumedNanos;

  private long suspendedNanos;

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
    this(numberBefore, ClockReading::now);
  }

  /** Returns an empty cache that reads the given clocks. */
  UpstreamListCache(long numberBefore, Supplier<ClockReading> clock) {
    this.lastNumber = numberBefore;
    this.clock = clock;
    this.lastReading = clock.get();
  }

  /**
   * The list at one poll.
   *
   * @param listings the upstreams
   * @param number number that grows whenever the list changes; 0 before the first poll
   * @param measuredNanos when the remaining cold start times in it were true, on the monotonic
   *     clock
   * @param polledNanos when the platform was last polled for it, on the monotonic clock; earlier by
   *     the time for which this VM was suspended since
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
    noticeSuspension();
    long polled = withSuspension(polledAtNanos);
    if (number > 0 && polled - polledNanos < 0) {
      return false;
    }
    measuredNanos = measuredAtNanos;
    polledNanos = polled;
    if (number == 0 || !fingerprint(newListings).equals(fingerprint(listings))) {
      lastNumber++;
      number = lastNumber;
    }
    listings = List.copyOf(newListings);
    return true;
  }

  /** Records that the platform was polled again and its list is the same. */
  public synchronized void recordUnchanged(long polledAtNanos) {
    noticeSuspension();
    long polled = withSuspension(polledAtNanos);
    if (polled - polledNanos > 0) {
      polledNanos = polled;
    }
  }

  private void noticeSuspension() {
    ClockReading reading = clock.get();
    long missed = lastReading.nanosSuspendedUntil(reading);
    if (missed > 0) {
      polledNanos -= missed;
      resumedNanos = reading.nanos();
      suspendedNanos = missed;
    }
    lastReading = reading;
  }

  /** Moves the time of a poll back if it was before the end of the last suspension. */
  private long withSuspension(long polledAtNanos) {
    return polledAtNanos - resumedNanos < 0 ? polledAtNanos - suspendedNanos : polledAtNanos;
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
    noticeSuspension();
    return new Snapshot(listings, number, measuredNanos, polledNanos);
  }
}
