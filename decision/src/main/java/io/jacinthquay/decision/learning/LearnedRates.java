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
 * Rates estimated from the observations of all routers.
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

  private record Domain(PoolName pool, DomainId domain) {}

  private record Estimate(double promptTokensPerMilli, double millisPerToken) {
    Estimate refined(UpstreamEvidence evidence) {
      return new Estimate(
          (promptTokensPerMilli * PRIOR_MILLIS + evidence.readTokens())
              / (PRIOR_MILLIS + evidence.readMillis()),
          (PRIOR_MILLIS + evidence.emitMillis())
              / (PRIOR_MILLIS / millisPerToken + evidence.emittedTokens()));
    }
  }

  private static final Estimate DEFAULT =
      new Estimate(FixedRates.PROMPT_TOKENS_PER_MILLI, FixedRates.MILLIS_PER_TOKEN);

  private final Map<UpstreamId, UpstreamEvidence> evidence;
  private final Map<Domain, Estimate> byDomain = new HashMap<>();
  private final Map<PoolName, Estimate> byPool = new HashMap<>();

  /**
   * Returns the rates that observations show.
   *
   * @param listings all upstreams
   * @param evidence the observations of all routers, by upstream
   */
  public LearnedRates(
      Collection<UpstreamListing> listings, Map<UpstreamId, UpstreamEvidence> evidence) {
    this.evidence = Map.copyOf(evidence);
    Map<PoolName, UpstreamEvidence> poolSums = new HashMap<>();
    Map<Domain, UpstreamEvidence> domainSums = new HashMap<>();
    for (UpstreamListing listing : listings) {
      UpstreamEvidence own = evidence.get(listing.upstream());
      if (own != null) {
        poolSums.merge(listing.pool(), own, UpstreamEvidence::plus);
        domainSums.merge(new Domain(listing.pool(), listing.domain()), own, UpstreamEvidence::plus);
      }
    }
    poolSums.forEach((pool, sum) -> byPool.put(pool, DEFAULT.refined(sum)));
    domainSums.forEach(
        (domain, sum) -> byDomain.put(domain, byPool.get(domain.pool()).refined(sum)));
  }

  private Estimate estimate(UpstreamListing upstream) {
    Estimate prior =
        byDomain.getOrDefault(
            new Domain(upstream.pool(), upstream.domain()),
            byPool.getOrDefault(upstream.pool(), DEFAULT));
    return prior.refined(evidence.getOrDefault(upstream.upstream(), UpstreamEvidence.NONE));
  }

  @Override
  public double promptTokensPerMilli(UpstreamListing upstream) {
    return estimate(upstream).promptTokensPerMilli();
  }

  @Override
  public double millisPerToken(UpstreamListing upstream) {
    return estimate(upstream).millisPerToken();
  }

  /** Returns the estimate of the prompt rate for a new engine of a pool in a failure domain. */
  public double promptTokensPerMilli(PoolName pool, DomainId domain) {
    return byDomain
        .getOrDefault(new Domain(pool, domain), byPool.getOrDefault(pool, DEFAULT))
        .promptTokensPerMilli();
  }
}
