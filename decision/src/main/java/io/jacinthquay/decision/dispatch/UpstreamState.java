package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.routing.EngineSpec;
import io.jacinthquay.model.routing.PoolSpec;

/** What this router knows of one run of one upstream. */
public final class UpstreamState {
  private Listing listing;
  private final UpstreamHealth health = new UpstreamHealth();
  private final ColdShare coldShare = new ColdShare();
  private final PrefixMemory prefixes;
  private LoadFigures own = LoadFigures.NONE;
  private LoadFigures others = LoadFigures.NONE;
  private long coldUntil;
  private long unheardSince;
  private long linkFreeAt;

  UpstreamState(Listing listing, PoolSpec pool, long now) {
    this.listing = listing;
    this.prefixes = new PrefixMemory(pool.engine().map(EngineSpec::memoryTokens).orElse(1L));
    this.coldUntil = now + listing.coldMillis() * 1_000_000L;
    this.linkFreeAt = now;
  }

  void listed(Listing newer, long now) {
    listing = newer;
    coldUntil = now + newer.coldMillis() * 1_000_000L;
  }

  void others(LoadFigures figures) {
    others = figures;
  }

  /** Returns the newest entry of the platform's list. */
  public Listing listing() {
    return listing;
  }

  /** Returns what this router has under way here. */
  public LoadFigures own() {
    return own;
  }

  /** Returns what all routers have under way here, as far as is known. */
  public LoadFigures load() {
    return own.plus(others);
  }

  boolean isCold(long now) {
    return now - coldUntil < 0;
  }

  /** Something arrived from the upstream. */
  void heard(long now) {
    unheardSince = now;
  }

  /** Returns when the transfers that this router asked for are through. */
  long linkFreeAt() {
    return linkFreeAt;
  }

  /** A transfer keeps the link of the engine busy. */
  void transfersUntil(long nanos) {
    linkFreeAt = nanos;
  }

  /** Returns for how long the upstream was silent while it had requests to answer. */
  long silentNanos(long now) {
    return own.inFlight() == 0 ? 0 : Math.min(now - unheardSince, now - linkFreeAt);
  }

  UpstreamHealth health() {
    return health;
  }

  ColdShare coldShare() {
    return coldShare;
  }

  PrefixMemory prefixes() {
    return prefixes;
  }

  void sending(LoadFigures change, long now) {
    if (own.inFlight() == 0) {
      unheardSince = now;
    }
    own = own.plus(change);
  }

  void add(LoadFigures change) {
    own = own.plus(change);
  }
}
