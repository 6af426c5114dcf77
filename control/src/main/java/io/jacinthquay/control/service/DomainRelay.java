package io.jacinthquay.control.service;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.wire.convert.QuarantineMessages;
import io.jacinthquay.wire.convert.SignalMessages;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Relays between the routers of a failure domain and the leader.
 *
 * <p>Handles the load of hundreds of routers that exchange, through one leader, what they have in
 * flight: the load of the other domains is sent into this domain once, not once for each router. A
 * relay serves the last view of the leader, and serves no router once that view is old or its own
 * replica lacks a change that the leader has.
 */
public final class DomainRelay implements ClusterView {
  private static final Logger log = LogManager.getLogger();

  /**
   * Age in nanoseconds from which the leader's view is stale, and routers call the leader instead.
   */
  private static final long VIEW_STALE_NANOS = 600_000_000L;

  /** Time in nanoseconds for which this replica may lack a change: a few heartbeats of the log. */
  private static final long MAX_LAG_NANOS = 400_000_000L;

  /**
   * Time between two calls to the leader while routers call the leader directly, in nanoseconds.
   * Short, as these calls also show whether the leader answers.
   */
  private static final long UNUSED_INTERVAL_NANOS = 300_000_000L;

  /**
   * Number of reports that wait for a leader; the oldest are dropped, since sums are cumulative and
   * later reports include them. Streams are reported once, hence all again after a loss.
   */
  private static final int MAX_PENDING = 512;

  /** Number of a list that this relay doesn't hold. */
  private static final long UNKNOWN_LIST = -1;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final String address;
  private final String domain;
  private final ControlStore store;
  private final UpstreamListCache upstreamList;
  private final LongSupplier clock;
  private final RouterRegistry registry;
  private final CachedPrefixLog cachedPrefixes = new CachedPrefixLog();
  private final long numberingTerm = -ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private List<RouterReportMessage> pending = new ArrayList<>();
  private final SignalsTable signals;
  private Map<String, UpstreamLoad> remoteLoads = Map.of();
  private RouterSignals remoteSignals = RouterSignals.NONE;
  private ControlViewMessage leaderView;
  private MemberId viewSource;
  private long viewNanos;
  private long upToDateNanos;
  private long pendingSinceNanos;
  private long lostReports;

  /**
   * Returns a relay that has no view of the leader yet.
   *
   * @param address address that routers connect to, ip:port
   * @param domain failure domain of the relay
   * @param store this VM's replica
   * @param upstreamList receives the leader's list of upstreams
   * @param clock monotonic, in nanoseconds
   */
  public DomainRelay(
      String address,
      String domain,
      ControlStore store,
      UpstreamListCache upstreamList,
      LongSupplier clock) {
    this.address = address;
    this.domain = domain;
    this.store = store;
    this.upstreamList = upstreamList;
    this.clock = clock;
    this.registry = new RouterRegistry(clock);
    this.signals = new SignalsTable(clock);
    this.upToDateNanos = clock.getAsLong() - MAX_LAG_NANOS;
    this.pendingSinceNanos = clock.getAsLong();
  }

  /** Adds the report of a router; the next call to the leader passes it on. */
  public synchronized void addReport(RouterReportMessage report) {
    registry.recordReport(report, "");
    if (report.isSetSignals()) {
      signals.record(report.getRouter(), "", SignalMessages.toSignals(report.getSignals()));
    }
    cachedPrefixes.add(report.getRouter(), report.getReads());
    report.setWallMillis(report.getWallMillis() - pendingMillis());
    if (pending.size() >= MAX_PENDING) {
      RouterReportMessage dropped = pending.remove(0);
      if (dropped.getOriginsSize() > 0) {
        recordLostReports();
      }
    }
    pending.add(report);
  }

  /**
   * Returns the time for which the first of the pending reports may have waited, in milliseconds.
   */
  private long pendingMillis() {
    return (clock.getAsLong() - pendingSinceNanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns whether the next call to the leader is due; a relay that no router uses calls less
   * often.
   */
  public synchronized boolean isDue() {
    return leaderView == null || isUsed() || clock.getAsLong() - viewNanos >= UNUSED_INTERVAL_NANOS;
  }

  private boolean isUsed() {
    return leaderView.getRouters() >= RelayDirectory.MIN_ROUTERS;
  }

  /**
   * Returns whether this relay may serve a router: the router is of the same failure domain, the
   * leader's view is recent, and this replica has the changes that the view names.
   */
  public synchronized boolean serves(String routerDomain) {
    long now = clock.getAsLong();
    if (leaderView == null
        || !isUsed()
        || now - viewNanos >= VIEW_STALE_NANOS
        || !domain.equals(routerDomain)) {
      return false;
    }
    ControlTables tables = store.tables();
    boolean behind =
        tables.version() < leaderView.getDocumentVersion()
            || tables.closedDomainsIndex() < leaderView.getClosedIndex()
            || tables.quarantine().index() < leaderView.getQuarantineIndex();
    if (!behind) {
      upToDateNanos = now;
    }
    return now - upToDateNanos < MAX_LAG_NANOS;
  }

  /**
   * Returns the report for a leader and clears the pending reports.
   *
   * @param leader the leader to call
   */
  public synchronized RelayReportMessage takeReport(MemberId leader) {
    boolean sameLeader = leaderView != null && leader.equals(viewSource);
    RelayReportMessage message = new RelayReportMessage();
    message.setRelay(address);
    message.setDomain(domain);
    long waitedMillis = pendingMillis();
    pending.forEach(report -> report.setWallMillis(report.getWallMillis() + waitedMillis));
    message.setReports(pending);
    message.setListNumber(sameLeader ? leaderView.getListNumber() : UNKNOWN_LIST);
    message.setReadsSeen(sameLeader ? leaderView.getReadsNumber() : 0);
    message.setReadsTerm(sameLeader ? leaderView.getReadsTerm() : -1);
    pending = new ArrayList<>();
    pendingSinceNanos = clock.getAsLong();
    return message;
  }

  /**
   * Puts back the reports of a failed call, which the leader may not have received; receiving them
   * twice changes nothing.
   */
  public synchronized void requeue(RelayReportMessage report) {
    List<RouterReportMessage> reports = new ArrayList<>(report.getReports());
    reports.addAll(pending);
    pending = reports;
  }

  /** Records that the leader will not get reports, so that routers report all streams again. */
  public synchronized void recordLostReports() {
    lostReports++;
    log.warn("reports of routers were lost; they report all streams again");
  }

  /**
   * Applies the view that a leader returned.
   *
   * @param leader the leader that returned it
   * @param requestNanos when the leader was called, on the monotonic clock
   */
  public synchronized void applyView(MemberId leader, ControlViewMessage view, long requestNanos) {
    leaderView = view;
    viewSource = leader;
    viewNanos = requestNanos;
    Map<String, UpstreamLoad> loads = new HashMap<>();
    view.getOtherLoads()
        .forEach(load -> loads.put(load.getUpstream(), UpstreamMessages.toLoad(load)));
    remoteLoads = loads;
    remoteSignals =
        view.isSetOtherSignals()
            ? SignalMessages.toSignals(view.getOtherSignals())
            : RouterSignals.NONE;
    cachedPrefixes.add("", view.getReads());
    long polledNanos = requestNanos - view.getListAgeMillis() * NANOS_PER_MILLI;
    if (view.isSetUpstreams()) {
      boolean replaced =
          upstreamList.update(
              view.getUpstreams().getUpstreams().stream().map(UpstreamMessages::toListing).toList(),
              requestNanos,
              polledNanos);
      if (!replaced) {
        // The leader's list is needed again once it is newer than what this VM has polled itself.
        view.setListNumber(UNKNOWN_LIST);
      }
    } else {
      upstreamList.recordUnchanged(polledNanos);
    }
  }

  @Override
  public long numberingTerm() {
    return numberingTerm;
  }

  @Override
  public CachedPrefixLog cachedPrefixes() {
    return cachedPrefixes;
  }

  @Override
  public synchronized int routers() {
    return leaderView.getRouters();
  }

  @Override
  public synchronized int position(String routerDomain, String router) {
    return leaderView.getPosition() + registry.position(routerDomain, router);
  }

  @Override
  public synchronized Map<String, UpstreamLoad> loadsOfOthers(String router) {
    Map<String, UpstreamLoad> loads = new HashMap<>(remoteLoads);
    registry.loadsOfOthers(router).forEach((id, load) -> loads.merge(id, load, UpstreamLoad::plus));
    return loads;
  }

  @Override
  public synchronized RouterSignals signalsOfOthers(String router) {
    return remoteSignals.plus(signals.ofOthers(router));
  }

  @Override
  public synchronized List<PartId> suspects() {
    return QuarantineMessages.toIds(leaderView.getSuspectParts());
  }

  @Override
  public synchronized long originsEpoch() {
    return leaderView.getOriginsEpoch() + lostReports;
  }

  @Override
  public synchronized long wallMillis() {
    return leaderView.getWallMillis() + (clock.getAsLong() - viewNanos) / NANOS_PER_MILLI;
  }

  /** Reports that the leader answers no calls, so that another one is elected. */
  public void avoid(MemberId leader) {
    store.avoidLeader(leader);
  }

  /** Returns the leader to call; empty if this VM leads or knows no leader. */
  public Optional<MemberId> leader() {
    return store.status().isLeader() ? Optional.empty() : store.leader();
  }
}
