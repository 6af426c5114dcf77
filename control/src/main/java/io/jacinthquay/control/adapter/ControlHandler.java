package io.jacinthquay.control.adapter;

import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.control.service.ClusterView;
import io.jacinthquay.control.service.ControlStore;
import io.jacinthquay.control.service.DomainRelay;
import io.jacinthquay.control.service.LeaderClusterView;
import io.jacinthquay.control.service.Leadership;
import io.jacinthquay.control.service.RelayDirectory;
import io.jacinthquay.control.service.StreamOriginAnswers;
import io.jacinthquay.control.service.UpstreamListCache;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.wire.convert.QuarantineMessages;
import io.jacinthquay.wire.convert.SignalMessages;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.ListedUpstreamMessage;
import io.jacinthquay.wire.gen.ListedUpstreamsMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import io.jacinthquay.wire.gen.StreamQuestionMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Handles the calls of routers and relays. The leader and the relays return what the caller doesn't
 * hold yet. Any other VM returns only the members, the leader and, to a router whose list of
 * upstreams is not recent, its own list: upstreams leave also while nobody leads.
 *
 * <p>Lock order: the locks of the registry, the relay, the tables of streams and the list of
 * upstreams are taken one after the other and never nested, except that the relay uses its registry
 * and the list of upstreams, and the versions of pools the list, while they hold their own lock.
 */
public final class ControlHandler implements Control.Iface {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Replaces a list number that another leader assigned, which means nothing here. */
  private static final long UNKNOWN_LIST = -1;

  /** List number of a router that needs no list unless this VM leads or relays. */
  private static final long LIST_NOT_NEEDED = -2;

  private final ControlStore store;
  private final Leadership leadership;
  private final LeaderClusterView leaderView;
  private final DomainRelay relay;
  private final RelayDirectory relayDirectory;
  private final UpstreamListCache upstreamList;
  private final StreamOriginAnswers originAnswers;

  /** Returns a handler. */
  public ControlHandler(
      ControlStore store,
      Leadership leadership,
      LeaderClusterView leaderView,
      DomainRelay relay,
      RelayDirectory relayDirectory,
      UpstreamListCache upstreamList,
      StreamOriginAnswers originAnswers) {
    this.store = store;
    this.leadership = leadership;
    this.leaderView = leaderView;
    this.relay = relay;
    this.relayDirectory = relayDirectory;
    this.upstreamList = upstreamList;
    this.originAnswers = originAnswers;
  }

  @Override
  public ControlViewMessage exchange(RouterReportMessage report) {
    ControlViewMessage view = newView();
    if (report.getRouter().isEmpty()) {
      view.setReplicas(
          new ArrayList<>(
              store.status().participants().stream().map(ReplicaId::toString).toList()));
    } else if (view.isLeads()) {
      leaderView.recordReport(report, "");
      fill(view, report, leaderView);
      view.setTrialParts(QuarantineMessages.toValues(leaderView.trials(report)));
      relayDirectory.relayFor(report.getDomain(), leaderView.routers()).ifPresent(view::setRelay);
    } else if (relay.serves(report.getDomain())) {
      relay.addReport(report);
      view.setRelays(true);
      fill(view, report, relay);
    } else if (report.getListNumber() != LIST_NOT_NEEDED) {
      upstreamList.recordSearch(System.nanoTime());
      fillList(view, report.getListNumber());
    }
    return view;
  }

  @Override
  public ControlViewMessage relay(RelayReportMessage report) {
    ControlViewMessage view = newView();
    if (view.isLeads()) {
      report
          .getReports()
          .forEach(routerReport -> leaderView.recordReport(routerReport, report.getRelay()));
      relayDirectory.recordCall(report.getDomain(), report.getRelay());
      ControlTables tables = store.tables();
      view.setDocumentVersion(tables.version());
      view.setClosedIndex(tables.closedDomainsIndex());
      view.setQuarantineIndex(tables.quarantine().index());
      HeldState held =
          new HeldState(
              report.getRelay(),
              report.getReadsTerm(),
              report.getReadsSeen(),
              report.getListNumber());
      fill(view, held, leaderView, leaderView.loadsExceptVia(report.getRelay()));
      view.setPosition(leaderView.position(report.getDomain(), ""));
      setSignals(view, leaderView.signalsExceptVia(report.getRelay()));
    }
    return view;
  }

  @Override
  public StreamOriginsMessage findOrigins(List<StreamQuestionMessage> questions) {
    return originAnswers.answer(questions);
  }

  /** Returns the part of a view that every VM knows: the members and the leader. */
  private ControlViewMessage newView() {
    ControlViewMessage view = new ControlViewMessage();
    Membership membership = store.status().membership();
    view.setMembers(
        new ArrayList<>(membership.replicas().stream().map(r -> r.member().value()).toList()));
    view.setReplicas(new ArrayList<>());
    view.setLeader(store.leader().map(member -> member.value()).orElse(""));
    view.setOtherLoads(new ArrayList<>());
    view.setReads(new ArrayList<>());
    view.setLeads(leadership.isConfirmed());
    return view;
  }

  private void fill(ControlViewMessage view, RouterReportMessage report, ClusterView clusterView) {
    ControlTables tables = store.tables();
    view.setDocumentVersion(tables.version());
    if (tables.version() != report.getDocumentVersion()) {
      tables.document().ifPresent(view::setDocument);
    }
    view.setClosedIndex(tables.closedDomainsIndex());
    if (tables.closedDomainsIndex() != report.getClosedIndex()) {
      view.setClosedDomains(new ArrayList<>(tables.closedDomains().toJavaList()));
    }
    view.setQuarantineIndex(tables.quarantine().index());
    if (tables.quarantine().index() != report.getQuarantineIndex()) {
      view.setQuarantinedParts(QuarantineMessages.toMessages(tables.quarantine().entries()));
    }
    HeldState held =
        new HeldState(
            report.getRouter(),
            report.getReadsTerm(),
            report.getReadsSeen(),
            report.getListNumber());
    fill(view, held, clusterView, clusterView.loadsOfOthers(report.getRouter()));
    view.setPosition(clusterView.position(report.getDomain(), report.getRouter()));
    if (report.isSetSignals()) {
      setSignals(view, clusterView.signalsOfOthers(report.getRouter()));
    }
  }

  /**
   * What the caller, a router or a relay, holds already.
   *
   * @param caller name of the router or address of the relay
   * @param term term of the leader, or id of the relay, that assigned the numbers
   * @param prefixesSeen number of the last cached prefix that it received
   * @param listNumber number of its list of upstreams
   */
  private record HeldState(String caller, long term, long prefixesSeen, long listNumber) {}

  /** Sets what routers are told about each other, without what the caller holds already. */
  private void fill(
      ControlViewMessage view,
      HeldState held,
      ClusterView clusterView,
      Map<String, UpstreamLoad> loads) {
    boolean sameTerm = held.term() == clusterView.numberingTerm();
    fillPrefixes(view, sameTerm ? held.prefixesSeen() : 0, held.caller(), clusterView);
    fillList(view, sameTerm ? held.listNumber() : UNKNOWN_LIST);
    fillLoads(view, loads);
    view.setSuspectParts(QuarantineMessages.toValues(clusterView.suspects()));
    view.setRouters(clusterView.routers());
    view.setWallMillis(clusterView.wallMillis());
    view.setOriginsEpoch(clusterView.originsEpoch());
  }

  private static void fillPrefixes(
      ControlViewMessage view, long prefixesSeen, String caller, ClusterView clusterView) {
    view.setReads(clusterView.cachedPrefixes().entriesAfter(prefixesSeen, caller));
    view.setReadsNumber(clusterView.cachedPrefixes().lastNumber());
    view.setReadsTerm(clusterView.numberingTerm());
  }

  private void fillList(ControlViewMessage view, long held) {
    long now = System.nanoTime();
    UpstreamListCache.Snapshot snapshot = upstreamList.snapshot();
    view.setListNumber(snapshot.number());
    if (snapshot.number() != held && snapshot.number() > 0) {
      view.setUpstreams(upstreams(snapshot, now));
    }
    view.setListAgeMillis((now - snapshot.polledNanos()) / NANOS_PER_MILLI);
  }

  private static void setSignals(ControlViewMessage view, RouterSignals signals) {
    if (!signals.isEmpty()) {
      view.setOtherSignals(SignalMessages.toMessage(signals));
    }
  }

  private static void fillLoads(ControlViewMessage view, Map<String, UpstreamLoad> loads) {
    List<UpstreamLoadMessage> messages = new ArrayList<>();
    loads.forEach((upstream, load) -> messages.add(UpstreamMessages.toMessage(upstream, load)));
    view.setOtherLoads(messages);
  }

  private static ListedUpstreamsMessage upstreams(UpstreamListCache.Snapshot snapshot, long now) {
    long ageMillis = snapshot.ageMillis(now);
    List<ListedUpstreamMessage> list = new ArrayList<>();
    for (UpstreamListing listing : snapshot.listings()) {
      list.add(UpstreamMessages.toMessage(listing, ageMillis));
    }
    return new ListedUpstreamsMessage(list);
  }
}
