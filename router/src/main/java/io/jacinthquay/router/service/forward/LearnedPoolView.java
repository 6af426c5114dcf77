package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.UpstreamSelector;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.decision.learning.UpstreamRates;
import io.jacinthquay.decision.waiting.DrainRate;
import io.jacinthquay.decision.waiting.PoolView;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import java.util.List;
import java.util.Optional;

/** What this router has learned of a pool. */
final class LearnedPoolView implements PoolView {
  /** Time for which a drain rate is used, in nanoseconds; it visits all upstreams. */
  private static final long REFRESH_NANOS = 100_000_000L;

  /**
   * Time that a plain call or a stream is assumed to hold a slot until some have ended, in
   * milliseconds. That of a stream is short, so that prompts limit the rate until it is known.
   */
  private static final double INITIAL_HOLD_MILLIS = 100;

  /** Least requests per millisecond, for a pool whose upstreams are all gone. */
  private static final double MIN_REQUESTS_PER_MILLI = 1e-3;

  /** Least tokens per millisecond, for a pool whose upstreams are all gone. */
  private static final double MIN_TOKENS_PER_MILLI = 1;

  private final PoolName pool;
  private final boolean engines;
  private final UpstreamSelector selector;
  private final OtherRouters others;
  private final HoldTime hold = new HoldTime(INITIAL_HOLD_MILLIS);
  private DrainRate drain = new DrainRate(MIN_TOKENS_PER_MILLI, MIN_REQUESTS_PER_MILLI);
  private double unreadTokens;
  private long refreshedNanos;
  private boolean refreshed;

  /**
   * Returns a view.
   *
   * @param engines whether the upstreams of the pool are model engines
   */
  LearnedPoolView(PoolName pool, boolean engines, UpstreamSelector selector, OtherRouters others) {
    this.pool = pool;
    this.engines = engines;
    this.selector = selector;
    this.others = others;
  }

  /** Records how long a request held its slot, in milliseconds. */
  void recordHold(double millis) {
    hold.record(millis);
  }

  @Override
  public PoolName pool() {
    return pool;
  }

  private void refresh(long now) {
    if (refreshed && now - refreshedNanos < REFRESH_NANOS) {
      return;
    }
    refreshed = true;
    refreshedNanos = now;
    List<UpstreamState> upstreams = selector.usable(pool);
    long slots = upstreams.stream().mapToLong(state -> state.listing().slots()).sum();
    double requests = Math.max(MIN_REQUESTS_PER_MILLI, slots / hold.millis());
    if (!engines) {
      drain = new DrainRate(Double.POSITIVE_INFINITY, requests);
      return;
    }
    UpstreamRates rates = selector.learnedRates(now);
    double tokens =
        upstreams.stream().mapToDouble(s -> rates.promptTokensPerMilli(s.listing())).sum();
    drain = new DrainRate(Math.max(MIN_TOKENS_PER_MILLI, tokens), requests);
    unreadTokens = upstreams.stream().mapToDouble(state -> state.load().promptTokens()).sum();
  }

  @Override
  public DrainRate drain(long now) {
    refresh(now);
    return drain;
  }

  @Override
  public double firstMillis(long now) {
    refresh(now);
    return engines ? Math.max(0, unreadTokens) / drain.tokensPerMilli() : hold.millis();
  }

  @Override
  public WaitingWork waitingElsewhere(int tier, long now) {
    return others.waiting(new WaitingWork.Key(pool, new Tier(tier)), now);
  }

  @Override
  public long ageMillis(long now) {
    return others.ageMillis(now);
  }

  @Override
  public int routers() {
    return others.routers();
  }

  @Override
  public int servedLevel(Optional<CustomerId> customer) {
    return others.served().level(customer);
  }
}
