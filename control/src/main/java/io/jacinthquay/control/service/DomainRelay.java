package io.jacinthquay.control.service;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
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

/**
 * Stands between the routers of a failure domain and the leader.
 *
 * <p>Answers the load of hundreds of routers that tell each other, through one leader, what they
 * have under way: what the others have crosses the border of the domain once, not once for each
 * router. A relay tells what the leader told it a moment ago, and tells nothing once that is old or
 * its own replica lacks a change that the leader has.
 */
public final class DomainRelay implements RouterKnowledge {
  /** Age of what the leader told from which on routers ask the leader themselves. */
  private static final long FRESH_NANOS = 600_000_000L;

  /** Time for a change to reach this replica: a few heartbeats of the log. */
  private static final long BEHIND_NANOS = 400_000_000L;

  /** Time between two calls while routers ask the leader themselves. */
  private static final long UNUSED_NANOS = 1_000_000_000L;

  /** Reports that wait for a leader; older ones are left out, since sums in later ones grow. */
  private static final int MOST_PENDING = 512;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final String address;
  private final String domain;
  private final ControlStore store;
  private final UpstreamFeed feed;
  private final LongSupplier clock;
  private final RouterRegistry registry;
  private final PrefixReads reads = new PrefixReads();
  private final long readsTerm = -ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private List<RouterReportMessage> pending = new ArrayList<>();
  private Map<String, UpstreamLoad> elsewhere = Map.of();
  private ControlViewMessage told;
  private MemberId toldBy;
  private long toldAt;
  private long currentAt;
  private long pendingSince;

  /**
   * Returns a relay that knows nothing yet.
   *
   * @param address where routers ask it, ip:port
   * @param domain its failure domain
   * @param store this VM's replica
   * @param feed takes the leader's list of upstreams
   * @param clock monotonic, in nanoseconds
   */
  public DomainRelay(
      String address, String domain, ControlStore store, UpstreamFeed feed, LongSupplier clock) {
    this.address = address;
    this.domain = domain;
    this.store = store;
    this.feed = feed;
    this.clock = clock;
    this.registry = new RouterRegistry(clock);
    this.currentAt = clock.getAsLong() - BEHIND_NANOS;
    this.pendingSince = clock.getAsLong();
  }

  /** Takes in what a router reports; the leader hears of it with the next call. */
  public synchronized void heard(RouterReportMessage report) {
    registry.heard(report, "");
    reads.add(report.getRouter(), report.getReads());
    report.setWallMillis(report.getWallMillis() - millisPending());
    if (pending.size() >= MOST_PENDING) {
      pending.remove(0);
    }
    pending.add(report);
  }

  /** Returns for how long the first of the pending reports may have waited, in milliseconds. */
  private long millisPending() {
    return (clock.getAsLong() - pendingSince) / NANOS_PER_MILLI;
  }

  /** Returns whether it is time to call the leader; a relay that no router uses seldom does. */
  public synchronized boolean isDue() {
    return told == null || isUsed() || clock.getAsLong() - toldAt >= UNUSED_NANOS;
  }

  private boolean isUsed() {
    return told.getRouters() >= RelayDirectory.FEWEST_ROUTERS;
  }

  /**
   * Returns whether a router may ask here: it is of the same failure domain, and what the leader
   * told is new enough.
   */
  public synchronized boolean serves(String routerDomain) {
    long now = clock.getAsLong();
    if (told == null || !isUsed() || now - toldAt >= FRESH_NANOS || !domain.equals(routerDomain)) {
      return false;
    }
    ControlTables tables = store.tables();
    boolean behind =
        tables.version() < told.getDocumentVersion()
            || tables.closedIndex() < told.getClosedIndex();
    if (!behind) {
      currentAt = now;
    }
    return now - currentAt < BEHIND_NANOS;
  }

  /**
   * Returns what to tell a leader, which is then no longer pending.
   *
   * @param leader who is told
   */
  public synchronized RelayReportMessage report(MemberId leader) {
    boolean known = told != null && leader.equals(toldBy);
    RelayReportMessage message = new RelayReportMessage();
    message.setRelay(address);
    message.setDomain(domain);
    long waited = millisPending();
    pending.forEach(report -> report.setWallMillis(report.getWallMillis() + waited));
    message.setReports(pending);
    message.setListNumber(known ? told.getListNumber() : -1);
    message.setReadsSeen(known ? told.getReadsNumber() : 0);
    message.setReadsTerm(known ? told.getReadsTerm() : -1);
    pending = new ArrayList<>();
    pendingSince = clock.getAsLong();
    return message;
  }

  /** Takes back what a leader may not have heard; hearing it twice changes nothing. */
  public synchronized void unheard(RelayReportMessage report) {
    List<RouterReportMessage> all = new ArrayList<>(report.getReports());
    all.addAll(pending);
    pending = all;
  }

  /**
   * Takes in what a leader told.
   *
   * @param leader who told it
   * @param askedNanos when it was asked, on the monotonic clock
   */
  public synchronized void told(MemberId leader, ControlViewMessage view, long askedNanos) {
    told = view;
    toldBy = leader;
    toldAt = askedNanos;
    Map<String, UpstreamLoad> loads = new HashMap<>();
    view.getOtherLoads()
        .forEach(load -> loads.put(load.getUpstream(), UpstreamMessages.load(load)));
    elsewhere = loads;
    reads.add("", view.getReads());
    long readNanos = askedNanos - view.getListAgeMillis() * NANOS_PER_MILLI;
    if (view.isSetUpstreams()) {
      feed.read(
          view.getUpstreams().getUpstreams().stream().map(UpstreamMessages::listing).toList(),
          askedNanos,
          readNanos);
    } else {
      feed.unchanged(readNanos);
    }
  }

  @Override
  public long readsTerm() {
    return readsTerm;
  }

  @Override
  public PrefixReads reads() {
    return reads;
  }

  @Override
  public synchronized int routers() {
    return told.getRouters();
  }

  @Override
  public synchronized Map<String, UpstreamLoad> loadsBeside(String router) {
    Map<String, UpstreamLoad> sum = new HashMap<>(elsewhere);
    registry.loadsBeside(router).forEach((id, load) -> sum.merge(id, load, UpstreamLoad::plus));
    return sum;
  }

  @Override
  public synchronized long wallMillis() {
    return told.getWallMillis() + (clock.getAsLong() - toldAt) / NANOS_PER_MILLI;
  }

  /** Returns the leader to call; nothing if this VM leads or knows of none. */
  public Optional<MemberId> leader() {
    return store.status().isLeader() ? Optional.empty() : store.leader();
  }
}
