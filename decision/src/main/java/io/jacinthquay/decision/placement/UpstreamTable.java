package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.slots.RendezvousHash;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The state of the upstreams of one pool as seen by one router, updated by events.
 *
 * <pre>{@code
 * UpstreamTable table = UpstreamTable.create(domain, "entry-3", PlacementSettings.defaults());
 * table.add(new UpstreamInfo(id, domain), now);
 * Placer placer = Placers.expectedWait(table);
 * }</pre>
 *
 * <p>All times are from the same monotonic clock, in nanoseconds. Not thread-safe: guard a table
 * and its placers by the same lock.
 */
public final class UpstreamTable {
  private final DomainId local;
  private final long routerHash;
  private final Map<UpstreamId, UpstreamState> upstreams = new HashMap<>();
  private final Set<DomainId> domainsOut = new HashSet<>();
  private final Map<DomainId, DomainCosts> domainCosts = new HashMap<>();
  private final PrefixIndex index = new PrefixIndex();
  private final CandidateSubset subset;
  private final PoolModel model;
  private final OutlierDetector detector;
  private final PlacementSettings settings;

  private UpstreamTable(DomainId local, String router, PlacementSettings settings) {
    this.local = Objects.requireNonNull(local, "local");
    this.routerHash = RendezvousHash.hash(router);
    this.settings = Objects.requireNonNull(settings, "settings");
    this.subset = new CandidateSubset(local, settings, index);
    this.model = new PoolModel(settings);
    this.detector = new OutlierDetector(settings);
  }

  /**
   * Returns an empty table.
   *
   * @param local the failure domain of the router
   * @param router the name of the router's VM, which determines its stable subset
   * @param settings the settings of placement
   */
  public static UpstreamTable create(DomainId local, String router, PlacementSettings settings) {
    return new UpstreamTable(local, router, settings);
  }

  /**
   * Adds an upstream, whose share of the requests then ramps up. Does nothing if it is already
   * known.
   */
  public void add(UpstreamInfo info, long nowNanos) {
    if (upstreams.containsKey(info.id())) {
      return;
    }
    long subsetRank = RendezvousHash.mix(routerHash ^ RendezvousHash.hash(info.id().value()));
    UpstreamState upstream = new UpstreamState(info, costs(info.domain()), subsetRank, nowNanos);
    upstream.domainOut = domainsOut.contains(info.domain());
    upstreams.put(info.id(), upstream);
    addCandidate(upstream);
  }

  /** Removes an upstream. The end of its running attempts may still be recorded. */
  public void remove(UpstreamId id) {
    UpstreamState upstream = upstreams.remove(id);
    if (upstream != null && upstream.takesNewWork()) {
      removeCandidate(upstream);
    }
  }

  /** Sets whether an upstream is leaving, in which case it receives no new requests. */
  public void setLeaving(UpstreamId id, boolean leaving, long nowNanos) {
    UpstreamState upstream = upstreams.get(id);
    if (upstream != null) {
      update(upstream, leaving, upstream.domainOut, nowNanos);
    }
  }

  /**
   * Takes a failure domain out of service, so that it receives no new requests, or returns it to
   * service, where its share of the requests ramps up.
   */
  public void setDomainOut(DomainId domain, boolean out, long nowNanos) {
    boolean changed = out ? domainsOut.add(domain) : domainsOut.remove(domain);
    if (!changed) {
      return;
    }
    for (UpstreamState upstream : upstreams.values()) {
      if (upstream.domain().equals(domain)) {
        update(upstream, upstream.leaving, out, nowNanos);
      }
    }
  }

  private void update(UpstreamState upstream, boolean leaving, boolean out, long now) {
    boolean tookNewWork = upstream.takesNewWork();
    upstream.leaving = leaving;
    upstream.domainOut = out;
    if (tookNewWork && !upstream.takesNewWork()) {
      removeCandidate(upstream);
    }
    if (!tookNewWork && upstream.takesNewWork()) {
      upstream.enteredAt = now;
      addCandidate(upstream);
    }
  }

  private void addCandidate(UpstreamState upstream) {
    if (upstream.takesNewWork()) {
      subset.add(upstream);
      model.invalidate();
    }
  }

  private void removeCandidate(UpstreamState upstream) {
    subset.remove(upstream);
    model.invalidate();
  }

  /**
   * Sets the typical round-trip time to a failure domain.
   *
   * @param nanos the round-trip time, in nanoseconds, 0 or more
   */
  public void setDomainLatency(DomainId domain, long nanos) {
    costs(domain).latencyNanos = nanos;
  }

  /**
   * Records how long a request waited for a slot in a failure domain, so that other requests of its
   * tier go to another domain when the wait is long.
   *
   * @param nanos time from the slot request to the grant, in nanoseconds, 0 or more
   */
  public void recordSlotWait(DomainId domain, Tier tier, long nanos, long nowNanos) {
    costs(domain).observeSlotWait(tier, nanos, nowNanos);
  }

  private DomainCosts costs(DomainId domain) {
    return domainCosts.computeIfAbsent(domain, d -> new DomainCosts());
  }

  /** Applies a load report. Ignores one that is older than the last or from an unknown upstream. */
  public void applyLoadReport(LoadReport report, long nowNanos) {
    UpstreamState upstream = upstreams.get(report.upstream());
    if (upstream == null) {
      return;
    }
    LoadReport last = upstream.report;
    if (last != null && report.measuredAtNanos() - last.measuredAtNanos() < 0) {
      return;
    }
    upstream.report = report;
    upstream.ownInFlightAtReport = upstream.inFlight;
    upstream.others = upstream.others(nowNanos, model.meanOthers(), settings.reportHalfLifeNanos());
  }

  /**
   * Applies a cache event as a hint. Ignores one that is repeated, out of order or from an unknown
   * upstream.
   */
  public void applyCacheEvent(CacheEvent event) {
    UpstreamState upstream = upstreams.get(event.upstream());
    if (upstream == null || event.sequence() <= upstream.cacheSequence) {
      return;
    }
    boolean gap = event.sequence() > upstream.cacheSequence + 1;
    upstream.cacheSequence = event.sequence();
    if (event.cleared()) {
      upstream.hintConfidence = 1;
    } else if (gap) {
      upstream.hintConfidence =
          Math.min(upstream.hintConfidence, UpstreamState.CONFIDENCE_AFTER_GAP);
    }
    if (upstream.slot >= 0) {
      applyHints(event, upstream.slot);
    }
  }

  private void applyHints(CacheEvent event, int slot) {
    if (event.cleared()) {
      index.clear(slot);
    }
    for (long hash : event.stored()) {
      index.add(hash, slot);
    }
    for (long hash : event.removed()) {
      index.remove(hash, slot);
    }
  }

  /**
   * Records that an attempt was sent.
   *
   * @return the handle for the later events of the attempt
   * @throws IllegalArgumentException if the upstream is unknown
   */
  public Dispatch recordDispatch(UpstreamId id, PlacementRequest request, long nowNanos) {
    UpstreamState upstream = upstreams.get(id);
    if (upstream == null) {
      throw new IllegalArgumentException("unknown upstream: " + id);
    }
    int cached = expectedCachedTokens(upstream, request.prefix());
    int miss = Math.max(0, request.promptTokens() - cached);
    Dispatch dispatch = new Dispatch(upstream, nowNanos, cached, model.firstToken(upstream, miss));
    upstream.inFlight++;
    upstream.pendingPromptTokens += miss;
    rememberPrefix(upstream, request.prefix());
    return dispatch;
  }

  private int expectedCachedTokens(UpstreamState upstream, PromptPrefix prefix) {
    if (upstream.slot < 0) {
      return 0;
    }
    long bit = 1L << upstream.slot;
    int blocks = 0;
    while (blocks < prefix.blocks() && (index.holders(prefix.hash(blocks)) & bit) != 0) {
      blocks++;
    }
    return (int) (blocks * prefix.blockTokens() * upstream.hintConfidence);
  }

  private void rememberPrefix(UpstreamState upstream, PromptPrefix prefix) {
    if (upstream.slot < 0) {
      return;
    }
    for (int block = 0; block < prefix.blocks(); block++) {
      index.add(prefix.hash(block), upstream.slot);
    }
  }

  /** Records the first token, or the first byte of an answer of a plain service. */
  public void recordFirstToken(Dispatch dispatch, long nowNanos) {
    if (dispatch.ended || dispatch.hasFirstToken()) {
      return;
    }
    dispatch.firstTokenAt = nowNanos;
    dispatch.lastTokenAt = nowNanos;
    dispatch.upstream.pendingPromptTokens -= dispatch.missTokens;
    model.observeFirstToken(dispatch, nowNanos);
  }

  /**
   * Records further tokens.
   *
   * @param count number of tokens since the last event of the attempt, at least 1
   */
  public void recordTokens(Dispatch dispatch, int count, long nowNanos) {
    if (dispatch.ended || !dispatch.hasFirstToken()) {
      return;
    }
    double nanosPerToken = (double) (nowNanos - dispatch.lastTokenAt) / count;
    dispatch.upstream.observeInterToken(nanosPerToken, nowNanos);
    dispatch.lastTokenAt = nowNanos;
  }

  /**
   * Records the number of cached prompt tokens that the upstream reported, which updates the
   * confidence in its cache hints.
   *
   * @param tokens number of cached tokens, 0 or more
   */
  public void recordCachedTokens(Dispatch dispatch, int tokens) {
    if (dispatch.expectedCachedTokens > 0) {
      double share = Math.min(1, (double) tokens / dispatch.expectedCachedTokens);
      dispatch.upstream.observeHint(share);
    }
  }

  /** Records the end of an attempt. Does nothing if it has already ended. */
  public void recordEnd(Dispatch dispatch, AttemptEnd end, long nowNanos) {
    if (dispatch.ended) {
      return;
    }
    dispatch.ended = true;
    UpstreamState upstream = dispatch.upstream;
    upstream.inFlight--;
    if (!dispatch.hasFirstToken()) {
      upstream.pendingPromptTokens -= dispatch.missTokens;
    }
    if (end == AttemptEnd.COMPLETED) {
      detector.recordSuccess(upstream, nowNanos);
      model.observeCompletion(dispatch, nowNanos);
    }
    if (end == AttemptEnd.FAILED) {
      detector.recordFailure(upstream, nowNanos);
    }
  }

  /**
   * Returns the ejected upstreams that are not due for a probe and must not be granted requests. It
   * includes no upstream of a failure domain all of whose candidates are in that state, so that the
   * domain remains usable.
   */
  public Set<UpstreamId> ejectedUpstreams(long nowNanos) {
    refresh(nowNanos);
    Set<UpstreamId> closed = new HashSet<>();
    Set<DomainId> open = new HashSet<>();
    for (UpstreamState u : subset.slots()) {
      if (u != null && (!u.ejected || u.isProbing(nowNanos))) {
        open.add(u.domain());
      }
    }
    for (UpstreamState u : subset.slots()) {
      if (u != null && u.ejected && !u.isProbing(nowNanos) && open.contains(u.domain())) {
        closed.add(u.info.id());
      }
    }
    return closed;
  }

  /** Returns a snapshot of every upstream, ordered by name. */
  public List<UpstreamView> views(long nowNanos) {
    List<UpstreamView> views = new ArrayList<>(upstreams.size());
    for (UpstreamState u : upstreams.values()) {
      views.add(u.view(nowNanos));
    }
    views.sort((a, b) -> a.id().compareTo(b.id()));
    return views;
  }

  /** Returns the failure domain of the router. */
  public DomainId localDomain() {
    return local;
  }

  /** Updates means and ejections if they are out of date. */
  void refresh(long now) {
    if (model.refresh(subset.slots(), now)) {
      detector.evaluate(subset.slots(), now);
    }
  }

  UpstreamState[] candidates() {
    return subset.slots();
  }

  boolean isLocal(UpstreamState upstream) {
    return subset.isLocal(upstream);
  }

  PoolModel model() {
    return model;
  }

  PrefixIndex index() {
    return index;
  }

  PlacementSettings settings() {
    return settings;
  }
}
