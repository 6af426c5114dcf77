package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.wire.gen.RouterReportMessage;
import java.util.Map;

/** What the leader learns from all routers. */
public final class LeaderKnowledge implements RouterKnowledge {
  private final ControlStore store;
  private final RouterRegistry registry;
  private final SharedTime time;
  private final PrefixReads reads = new PrefixReads();

  /** Returns knowledge that is kept in a registry and a shared time. */
  public LeaderKnowledge(ControlStore store, RouterRegistry registry, SharedTime time) {
    this.store = store;
    this.registry = registry;
    this.time = time;
  }

  /**
   * Takes in what a router reports.
   *
   * @param via name of the relay that passed it on; empty if none did
   */
  public void heard(RouterReportMessage report, String via) {
    registry.heard(report, via);
    time.heard(report.getRouter(), report.getWallMillis());
    reads.add(via.isEmpty() ? report.getRouter() : via, report.getReads());
  }

  @Override
  public long readsTerm() {
    return store.status().term();
  }

  @Override
  public PrefixReads reads() {
    return reads;
  }

  @Override
  public int routers() {
    return registry.count();
  }

  @Override
  public Map<String, UpstreamLoad> loadsBeside(String router) {
    return registry.loadsBeside(router);
  }

  /** Returns the sum of what all routers have under way that don't report through a relay. */
  public Map<String, UpstreamLoad> loadsNotVia(String relay) {
    return registry.loadsNotVia(relay);
  }

  @Override
  public long wallMillis() {
    return time.millis();
  }
}
