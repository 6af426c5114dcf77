package io.jacinthquay.control.service;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.wire.convert.SignalMessages;
import io.jacinthquay.wire.gen.RouterReportMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The leader's view, from the reports of all routers. */
public final class LeaderClusterView implements ClusterView {
  private final ControlStore store;
  private final RouterRegistry registry;
  private final MedianClock clock;
  private final PartQuarantine quarantine;
  private final CachedPrefixLog cachedPrefixes = new CachedPrefixLog();
  private final SignalsTable signals;
  private final StreamOriginsTable origins;

  /**
   * Returns a view that stores the reports in a registry, their signals and streams in tables,
   * their times of day in a clock and their evidence in a quarantine.
   */
  public LeaderClusterView(
      ControlStore store,
      RouterRegistry registry,
      SignalsTable signals,
      MedianClock clock,
      PartQuarantine quarantine,
      StreamOriginsTable origins) {
    this.store = store;
    this.registry = registry;
    this.signals = signals;
    this.clock = clock;
    this.quarantine = quarantine;
    this.origins = origins;
  }

  /**
   * Records the report of a router.
   *
   * @param relay address of the relay that passed it on; empty if the router called the leader
   */
  public void recordReport(RouterReportMessage report, String relay) {
    registry.recordReport(report, relay);
    if (report.isSetSignals()) {
      signals.record(report.getRouter(), relay, SignalMessages.toSignals(report.getSignals()));
    }
    clock.recordTime(report.getRouter(), report.getWallMillis());
    quarantine.recordReport(report);
    origins.recordReport(report);
    // The registry keeps the report, which may hold hundreds of streams.
    report.setOrigins(new ArrayList<>());
    cachedPrefixes.add(relay.isEmpty() ? report.getRouter() : relay, report.getReads());
  }

  @Override
  public long numberingTerm() {
    return store.status().term();
  }

  @Override
  public CachedPrefixLog cachedPrefixes() {
    return cachedPrefixes;
  }

  @Override
  public int routers() {
    return registry.count();
  }

  @Override
  public int position(String domain, String router) {
    return registry.position(domain, router);
  }

  @Override
  public Map<String, UpstreamLoad> loadsOfOthers(String router) {
    return registry.loadsOfOthers(router);
  }

  /** Returns the load of all routers except those that report through a relay, by upstream. */
  public Map<String, UpstreamLoad> loadsExceptVia(String relay) {
    return registry.loadsExceptVia(relay);
  }

  @Override
  public RouterSignals signalsOfOthers(String router) {
    return signals.ofOthers(router);
  }

  /** Returns the sum of the signals of all routers except those that report through a relay. */
  public RouterSignals signalsExceptVia(String relay) {
    return signals.exceptVia(relay);
  }

  @Override
  public List<PartId> suspects() {
    return quarantine.suspects();
  }

  /** Returns the quarantined parts with each of which the reporting router may try a request. */
  public List<PartId> trials(RouterReportMessage report) {
    return quarantine.trials(report);
  }

  @Override
  public long originsEpoch() {
    return origins.epoch();
  }

  @Override
  public long wallMillis() {
    return clock.wallMillis();
  }
}
