package io.jacinthquay.decision.learning;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Rates estimated from the observations of all routers; immutable.
 *
 * <p>Answers a pool whose engines differ by failure domain and over time. An engine that was rarely
 * observed counts as fast as the others of its pool and failure domain, these as the others of the
 * pool, and these as {@link FixedRates}.
 */
public final class LearnedRates implements UpstreamRates {
  /**
   * Weight of the more general estimate, as the observation time in milliseconds that counts as
   * much.
   */
  private static final double PRIOR_MILLIS = 400;

  /** Weight of the pool in the share of missed responses of an upstream, in responses. */
  private static final double PRIOR_RESPONSES = 4;

  /**
   * Share of missed responses above that of the pool that says nothing of an upstream; bursts that
   * routers couldn't see cause as much.
   */
  private static final double UNREMARKABLE_MISSES = 0.25;

  /**
   * Most observation time of one upstream that counts for its failure domain and pool, in
   * milliseconds; keeps one stalled upstream from setting the figure of the others.
   */
  private static final double MAX_SHARED_MILLIS = 3_000;

  /**
   * Ratio of the 95th percentile of the time for a token to its mean: 37 ms for chunks of a
   * thousand tokens, which are read in 27 ms at the fixed rate.
   */
  private static final double LONG_TOKEN_FACTOR = 1.37;

  /**
   * A pool in a failure domain.
   *
   * @param pool the pool
   * @param domain the failure domain
   */
  public record Place(PoolName pool, DomainId domain) {
    /** Returns the place of an upstream. */
    public static Place of(UpstreamListing upstream) {
      return new Place(upstream.pool(), upstream.domain());
    }
  }

  private record Estimate(double promptTokensPerMilli, double millisPerToken, double missedShare) {
    Estimate refined(UpstreamEvidence evidence) {
      return new Estimate(
          (promptTokensPerMilli * PRIOR_MILLIS + evidence.readTokens())
              / (PRIOR_MILLIS + evidence.readMillis()),
          (PRIOR_MILLIS + evidence.emitMillis())
              / (PRIOR_MILLIS / millisPerToken + evidence.emittedTokens()),
          (missedShare * PRIOR_RESPONSES + evidence.missed())
              / (PRIOR_RESPONSES + evidence.missed() + evidence.onTarget()));
    }
  }

  private static final Estimate DEFAULT =
      new Estimate(
          FixedRates.PROMPT_TOKENS_PER_MILLI, FixedRates.MILLIS_PER_TOKEN / LONG_TOKEN_FACTOR, 0);

  private final Map<UpstreamId, Estimate> byUpstream = new HashMap<>();
  private final Map<Place, Estimate> byPlace = new HashMap<>();
  private final Map<PoolName, Estimate> byPool = new HashMap<>();

  /**
   * Returns the rates that observations show.
   *
   * @param listings all upstreams
   * @param evidence the observations of all routers, by upstream
   */
  public LearnedRates(
      Collection<UpstreamListing> listings, Map<UpstreamId, UpstreamEvidence> evidence) {
    Map<PoolName, UpstreamEvidence> poolSums = new HashMap<>();
    Map<Place, UpstreamEvidence> placeSums = new HashMap<>();
    for (UpstreamListing listing : listings) {
      UpstreamEvidence shared =
          bounded(evidence.getOrDefault(listing.upstream(), UpstreamEvidence.NONE));
      poolSums.merge(listing.pool(), shared, UpstreamEvidence::plus);
      placeSums.merge(Place.of(listing), shared, UpstreamEvidence::plus);
    }
    poolSums.forEach((pool, sum) -> byPool.put(pool, DEFAULT.refined(sum)));
    placeSums.forEach((place, sum) -> byPlace.put(place, byPool.get(place.pool()).refined(sum)));
    for (UpstreamListing listing : listings) {
      UpstreamEvidence sums = evidence.get(listing.upstream());
      if (sums != null) {
        byUpstream.put(listing.upstream(), byPlace.get(Place.of(listing)).refined(sums));
      }
    }
  }

  private static UpstreamEvidence bounded(UpstreamEvidence evidence) {
    double millis = Math.max(evidence.readMillis(), evidence.emitMillis());
    return millis <= MAX_SHARED_MILLIS ? evidence : evidence.times(MAX_SHARED_MILLIS / millis);
  }

  private Estimate estimate(UpstreamListing upstream) {
    Estimate known = byUpstream.get(upstream.upstream());
    return known != null ? known : estimate(Place.of(upstream));
  }

  private Estimate estimate(Place place) {
    Estimate known = byPlace.get(place);
    return known != null ? known : byPool.getOrDefault(place.pool(), DEFAULT);
  }

  @Override
  public double promptTokensPerMilli(UpstreamListing upstream) {
    return estimate(upstream).promptTokensPerMilli();
  }

  @Override
  public double millisPerToken(UpstreamListing upstream) {
    return estimate(upstream).millisPerToken();
  }

  @Override
  public double longTokenMillis(UpstreamListing upstream) {
    return estimate(upstream).millisPerToken() * LONG_TOKEN_FACTOR;
  }

  @Override
  public double excessMisses(UpstreamListing upstream) {
    double usual = byPool.getOrDefault(upstream.pool(), DEFAULT).missedShare();
    double excess = estimate(upstream).missedShare() - usual - UNREMARKABLE_MISSES;
    return Math.max(0, excess / (1 - UNREMARKABLE_MISSES));
  }

  /** Returns the estimate of the prompt rate for a new engine of a pool in a failure domain. */
  public double promptTokensPerMilli(PoolName pool, DomainId domain) {
    return estimate(new Place(pool, domain)).promptTokensPerMilli();
  }

  /**
   * Returns the estimate of the time between two tokens for a new engine of a pool in a failure
   * domain, in milliseconds; of the time of a call for a plain service.
   */
  public double millisPerToken(PoolName pool, DomainId domain) {
    return estimate(new Place(pool, domain)).millisPerToken();
  }

  /** Returns the pools and failure domains that have upstreams. */
  public Collection<Place> places() {
    return byPlace.keySet();
  }
}
