package io.jacinthquay.decision.learning;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Combines the observations of this router with those of the others and keeps the rates that they
 * show for some hundred milliseconds, so that a decision computes nothing. Not thread-safe.
 */
public final class RateEstimator {
  /** Time for which rates are reused, in nanoseconds; reports of other routers come as often. */
  private static final long REUSE_NANOS = 250_000_000L;

  /** Weight of the newest observation in the error. */
  private static final double NEWEST_WEIGHT = 0.05;

  private final EvidenceLog own = new EvidenceLog();
  private final Map<PoolName, Double> errors = new HashMap<>();
  private Map<UpstreamId, UpstreamEvidence> remote = Map.of();
  private long remoteNanos;
  private LearnedRates rates;
  private long ratesNanos;

  /** Returns the observations of this router. */
  public EvidenceLog own() {
    return own;
  }

  /** Sets the sum of the observations of the other routers. */
  public void setRemote(Map<UpstreamId, UpstreamEvidence> evidence, long now) {
    remote = evidence;
    remoteNanos = now;
  }

  /** Removes the observations of all other upstreams; the next rates are computed anew. */
  public void retainAll(Set<UpstreamId> upstreams) {
    own.retainAll(upstreams);
    rates = null;
  }

  /**
   * Returns the rates that all observations show.
   *
   * @param listings the upstreams; evaluated only if the rates are computed anew
   */
  public LearnedRates rates(Supplier<Collection<UpstreamListing>> listings, long now) {
    if (rates == null || now - ratesNanos >= REUSE_NANOS) {
      rates = new LearnedRates(listings.get(), all(now));
      ratesNanos = now;
    }
    return rates;
  }

  /** Returns the observations of one upstream by all routers. */
  public UpstreamEvidence evidence(UpstreamId upstream, long now) {
    UpstreamEvidence observed = own.evidence(upstream, now);
    return hasRemote(now)
        ? observed.plus(remote.getOrDefault(upstream, UpstreamEvidence.NONE))
        : observed;
  }

  /** Returns the observations of all routers, by upstream. */
  private Map<UpstreamId, UpstreamEvidence> all(long now) {
    Map<UpstreamId, UpstreamEvidence> all = own.evidence(now);
    if (hasRemote(now)) {
      remote.forEach((upstream, sums) -> all.merge(upstream, sums, UpstreamEvidence::plus));
    }
    return all;
  }

  /** Returns whether the observations of other routers are recent enough to count. */
  public boolean hasRemote(long now) {
    return remoteAgeNanos(now) <= RouterSignals.EXPIRY_NANOS;
  }

  /** Returns the time since the observations of other routers arrived, in nanoseconds. */
  public long remoteAgeNanos(long now) {
    return now - remoteNanos;
  }

  /** Records the expected and the observed time to the first event of a stream. */
  public void recordError(PoolName pool, double expectedMillis, double observedMillis) {
    double error = Math.abs(observedMillis - expectedMillis) / Math.max(1, expectedMillis);
    errors.merge(pool, error, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
  }

  /** Returns the mean relative error of the expected time to the first event, by pool. */
  public Map<PoolName, Double> errors() {
    return Map.copyOf(errors);
  }
}
