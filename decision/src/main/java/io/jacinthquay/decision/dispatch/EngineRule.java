package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.learning.FixedRates;
import io.jacinthquay.decision.learning.UpstreamRates;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.routing.EngineSpec;
import java.util.Optional;

/**
 * Places requests on model engines by the prompt tokens that are still to be read.
 *
 * <p>Keeps a shared prompt prefix on one engine and uses another only if prefill there is faster
 * than waiting. Long prompts avoid engines whose running streams would pause for too long.
 */
final class EngineRule implements PlacementRule {
  /**
   * Longest prefill backlog of an engine that accepts a request of the highest tier, in
   * milliseconds, that request included. A request whose prefix is cached adds less and is accepted
   * for longer, so that it waits for its engine rather than being read again by another.
   */
  private static final double MAX_BACKLOG_MILLIS = 900;

  /** Reduction of that limit per lower tier, in milliseconds; leaves capacity for higher tiers. */
  private static final double TIER_REDUCTION_MILLIS = 150;

  /**
   * Backlog allowed beside a prompt that exceeds the limit by itself, in milliseconds; keeps
   * engines busy between reports.
   */
  private static final double MIN_EXTRA_BACKLOG_MILLIS = 100;

  /** Time that each request in flight adds to a decoding step, in milliseconds. */
  private static final double MILLIS_PER_REQUEST = 1.2;

  /** Share of a shared prefix that its home engine is assumed to have cached. */
  private static final double ASSUMED_HOME_SHARE = 0.8;

  /** Cost of traffic between failure domains, in milliseconds. */
  private static final double REMOTE_MILLIS = 6;

  /** The same where rates are learned, in milliseconds: the round trip between domains. */
  private static final double LEARNED_REMOTE_MILLIS = 2;

  /** Share of engine memory in use above which running requests risk preemption. */
  private static final double SAFE_MEMORY_SHARE = 0.9;

  /** Cost of a likely preemption, in milliseconds. */
  private static final double PREEMPTION_MILLIS = 1_000;

  /** Cost per prompt token read beside a pause-sensitive stream, in milliseconds. */
  private static final double MILLIS_PER_SENSITIVE_TOKEN = 0.004;

  private final EngineSpec spec;
  private final PrefillPause pause;
  private final CurrentRates rates;

  EngineRule(EngineSpec spec, CurrentRates rates) {
    this.spec = spec;
    this.rates = rates;
    this.pause = new PrefillPause(spec);
  }

  /**
   * Returns whether a request goes to its engine whatever waits there; engines read the prompts of
   * chats first.
   */
  private boolean ignoresBacklog(PoolRequest work) {
    return rates.isLearned() ? PrefillPause.isChat(work) : pause.exceedsTarget(work);
  }

  private static double maxBacklogMillis(PoolRequest work, double prefillMillis) {
    double limit = MAX_BACKLOG_MILLIS - TIER_REDUCTION_MILLIS * work.tier().value();
    return Math.max(limit, prefillMillis + MIN_EXTRA_BACKLOG_MILLIS);
  }

  /** Returns the prefix tokens of a prompt that an engine has, or probably has, in its cache. */
  private static double cachedTokens(
      PoolRequest work, UpstreamState upstream, SharedPrefix prefix) {
    double cached = upstream.prefixes().cachedTokens(work.parts());
    boolean assumed = prefix.isHome(upstream) && prefix.hasNoHolder();
    return assumed
        ? Math.max(cached, ASSUMED_HOME_SHARE * (work.promptTokens() - work.ownTokens()))
        : cached;
  }

  @Override
  public double cost(
      PoolRequest work, UpstreamState upstream, SharedPrefix prefix, DomainId local) {
    UpstreamLoad load = upstream.load();
    if (load.inFlight() >= upstream.listing().slots()) {
      return UNAVAILABLE;
    }
    UpstreamRates current = rates.get();
    double tokensPerMilli = current.promptTokensPerMilli(upstream.listing());
    double backlogMillis = load.promptTokens() / tokensPerMilli;
    double cached = cachedTokens(work, upstream, prefix);
    Optional<PrefixTransfer> transfer = prefix.transferTo(upstream, (int) cached);
    int transferred = transfer.map(PrefixTransfer::tokens).orElse(0);
    double unread = Math.max(0, work.promptTokens() - cached - transferred);
    double prefillMillis = unread / tokensPerMilli;
    if (!ignoresBacklog(work)
        && backlogMillis + prefillMillis > maxBacklogMillis(work, prefillMillis)) {
      return UNAVAILABLE;
    }
    double cost = (load.promptTokens() + unread) / tokensPerMilli;
    cost += transfer.map(PrefixTransfer::millis).orElse(0.0);
    cost += backlogMillis * work.pauseSensitivity();
    double slowness = FixedRates.PROMPT_TOKENS_PER_MILLI / tokensPerMilli;
    cost += load.pauseSensitivity() * unread * MILLIS_PER_SENSITIVE_TOKEN * slowness;
    cost += load.inFlight() * MILLIS_PER_REQUEST * slowness;
    if (load.memoryTokens() + work.memoryTokens() > SAFE_MEMORY_SHARE * spec.kvCacheTokens()) {
      cost += PREEMPTION_MILLIS;
    }
    double remoteMillis = rates.isLearned() ? LEARNED_REMOTE_MILLIS : REMOTE_MILLIS;
    return upstream.listing().domain().equals(local) ? cost : cost + remoteMillis;
  }
}
