package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.routing.EngineSpec;
import io.jacinthquay.model.routing.PoolSpec;

/** What this router knows about one run of an upstream. */
public final class UpstreamState {
  /**
   * Cold time in a list that shows a new start of a warm upstream, in milliseconds; less may be the
   * age of the list.
   */
  private static final long MIN_COLD_MILLIS = 500;

  private UpstreamListing listing;
  private final UpstreamHealth health = new UpstreamHealth();
  private final ColdRateLimiter coldLimiter = new ColdRateLimiter();
  private final PrefixCacheModel prefixes;
  private UpstreamLoad own = UpstreamLoad.NONE;
  private UpstreamLoad remoteLoad = UpstreamLoad.NONE;
  private long coldUntil;
  private long silentSince;
  private long linkFreeAt;
  private boolean seenToLeave;
  private long leavingSince;

  UpstreamState(UpstreamListing listing, PoolSpec pool, long now) {
    this.listing = listing;
    this.prefixes = new PrefixCacheModel(pool.engine().map(EngineSpec::kvCacheTokens).orElse(1L));
    this.coldUntil = now + listing.coldMillis() * 1_000_000L;
    this.linkFreeAt = now;
  }

  /** Returns whether a newer entry shows that the upstream was started again under the same id. */
  boolean isRestartedIn(UpstreamListing newListing, long now) {
    boolean coldAgain = !isCold(now) && newListing.coldMillis() > MIN_COLD_MILLIS;
    return coldAgain
        || !newListing.address().equals(listing.address())
        || !newListing.version().equals(listing.version());
  }

  void updateListing(UpstreamListing newListing, long now) {
    if (newListing.draining() && !listing.draining()) {
      seenToLeave = true;
      leavingSince = now;
    }
    listing = newListing;
    coldUntil = now + newListing.coldMillis() * 1_000_000L;
  }

  /**
   * Returns for how long the upstream has been leaving, in nanoseconds; the greatest value if it
   * isn't leaving or was not seen to begin.
   */
  long leavingNanos(long now) {
    return seenToLeave && listing.draining() ? now - leavingSince : Long.MAX_VALUE;
  }

  void setRemoteLoad(UpstreamLoad figures) {
    remoteLoad = figures;
  }

  /** Returns the newest entry in the platform's list. */
  public UpstreamListing listing() {
    return listing;
  }

  /** Returns this router's own load on the upstream. */
  public UpstreamLoad own() {
    return own;
  }

  /** Returns the last known load of all routers on the upstream. */
  public UpstreamLoad load() {
    return own.plus(remoteLoad);
  }

  boolean isCold(long now) {
    return now - coldUntil < 0;
  }

  /** Records that data arrived from the upstream. */
  void recordActivity(long now) {
    silentSince = now;
  }

  /** Returns when the transfers requested by this router end, on the monotonic clock. */
  long linkFreeAt() {
    return linkFreeAt;
  }

  /** Sets the time until which a transfer occupies the engine's link. */
  void occupyLinkUntil(long nanos) {
    linkFreeAt = nanos;
  }

  /**
   * Returns how long the upstream has been silent while it had requests to answer, in nanoseconds.
   */
  long silentNanos(long now) {
    return own.inFlight() == 0 ? 0 : Math.min(now - silentSince, now - linkFreeAt);
  }

  UpstreamHealth health() {
    return health;
  }

  ColdRateLimiter coldLimiter() {
    return coldLimiter;
  }

  PrefixCacheModel prefixes() {
    return prefixes;
  }

  void addSend(UpstreamLoad change, long now) {
    if (own.inFlight() == 0) {
      silentSince = now;
    }
    own = own.plus(change);
  }

  void addLoad(UpstreamLoad change) {
    own = own.plus(change);
  }
}
