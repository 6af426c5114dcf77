package io.jacinthquay.control.adapter;

import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.control.service.ControlStore;
import io.jacinthquay.control.service.DomainRelay;
import io.jacinthquay.control.service.LeaderKnowledge;
import io.jacinthquay.control.service.Leadership;
import io.jacinthquay.control.service.RelayDirectory;
import io.jacinthquay.control.service.RouterKnowledge;
import io.jacinthquay.control.service.UpstreamFeed;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.ListedUpstreamMessage;
import io.jacinthquay.wire.gen.ListedUpstreamsMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Answers routers: the leader and the relays with all that they lack, others with who leads.
 *
 * <p>Locks: those of the registry, the relay and the feed are taken one after the other, never one
 * inside the other, but for the relay's, inside which it uses its registry and the feed.
 */
public final class ControlHandler implements Control.Iface {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Stands for the number of a list that another run of a leader gave: it means nothing here. */
  private static final long NO_LIST = -1;

  private final ControlStore store;
  private final Leadership leadership;
  private final LeaderKnowledge leader;
  private final DomainRelay relay;
  private final RelayDirectory relays;
  private final UpstreamFeed feed;

  /** Returns a handler. */
  public ControlHandler(
      ControlStore store,
      Leadership leadership,
      LeaderKnowledge leader,
      DomainRelay relay,
      RelayDirectory relays,
      UpstreamFeed feed) {
    this.store = store;
    this.leadership = leadership;
    this.leader = leader;
    this.relay = relay;
    this.relays = relays;
    this.feed = feed;
  }

  @Override
  public ControlViewMessage exchange(RouterReportMessage report) {
    ControlViewMessage view = view();
    if (report.getRouter().isEmpty()) {
      view.setReplicas(
          new ArrayList<>(store.status().takingPart().stream().map(ReplicaId::toString).toList()));
    } else if (view.isLeads()) {
      leader.heard(report, "");
      fill(view, report, leader);
      relays.relay(report.getDomain(), leader.routers()).ifPresent(view::setRelay);
    } else if (relay.serves(report.getDomain())) {
      relay.heard(report);
      view.setRelays(true);
      fill(view, report, relay);
    }
    return view;
  }

  @Override
  public ControlViewMessage relay(RelayReportMessage report) {
    ControlViewMessage view = view();
    if (view.isLeads()) {
      report.getReports().forEach(each -> leader.heard(each, report.getRelay()));
      relays.heard(report.getDomain(), report.getRelay());
      ControlTables tables = store.tables();
      view.setDocumentVersion(tables.version());
      view.setClosedIndex(tables.closedIndex());
      Held held =
          new Held(
              report.getRelay(),
              report.getReadsTerm(),
              report.getReadsSeen(),
              report.getListNumber());
      fill(view, held, leader, leader.loadsNotVia(report.getRelay()));
    }
    return view;
  }

  /** Returns what every VM knows. */
  private ControlViewMessage view() {
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

  private void fill(
      ControlViewMessage view, RouterReportMessage report, RouterKnowledge knowledge) {
    ControlTables tables = store.tables();
    view.setDocumentVersion(tables.version());
    if (tables.version() != report.getDocumentVersion()) {
      tables.document().ifPresent(view::setDocument);
    }
    view.setClosedIndex(tables.closedIndex());
    if (tables.closedIndex() != report.getClosedIndex()) {
      view.setClosedDomains(new ArrayList<>(tables.closedDomains().toJavaList()));
    }
    Held held =
        new Held(
            report.getRouter(),
            report.getReadsTerm(),
            report.getReadsSeen(),
            report.getListNumber());
    fill(view, held, knowledge, knowledge.loadsBeside(report.getRouter()));
  }

  /**
   * What a router or a relay holds already.
   *
   * @param asker its name
   * @param term whose numbers the others are
   * @param readsSeen number of the last read that it took in
   * @param listNumber number of its list of upstreams
   */
  private record Held(String asker, long term, long readsSeen, long listNumber) {}

  /** Fills in what routers are told of each other, as far as the asker doesn't hold it. */
  private void fill(
      ControlViewMessage view,
      Held held,
      RouterKnowledge knowledge,
      Map<String, UpstreamLoad> loads) {
    boolean known = held.term() == knowledge.readsTerm();
    fillReads(view, known ? held.readsSeen() : 0, held.asker(), knowledge);
    fillList(view, known ? held.listNumber() : NO_LIST);
    fillLoads(view, loads);
    view.setRouters(knowledge.routers());
    view.setWallMillis(knowledge.wallMillis());
  }

  private static void fillReads(
      ControlViewMessage view, long seen, String asker, RouterKnowledge knowledge) {
    view.setReads(knowledge.reads().after(seen, asker));
    view.setReadsNumber(knowledge.reads().number());
    view.setReadsTerm(knowledge.readsTerm());
  }

  private void fillList(ControlViewMessage view, long held) {
    long now = System.nanoTime();
    UpstreamFeed.Reading reading = feed.reading();
    view.setListNumber(reading.number());
    if (reading.number() != held && reading.number() > 0) {
      view.setUpstreams(upstreams(reading, now));
    }
    view.setListAgeMillis((now - reading.readNanos()) / NANOS_PER_MILLI);
  }

  private static void fillLoads(ControlViewMessage view, Map<String, UpstreamLoad> loads) {
    List<UpstreamLoadMessage> messages = new ArrayList<>();
    loads.forEach((upstream, load) -> messages.add(UpstreamMessages.toMessage(upstream, load)));
    view.setOtherLoads(messages);
  }

  private static ListedUpstreamsMessage upstreams(UpstreamFeed.Reading reading, long now) {
    long age = reading.ageMillis(now);
    List<ListedUpstreamMessage> list = new ArrayList<>();
    for (UpstreamListing listing : reading.listings()) {
      list.add(UpstreamMessages.toMessage(listing, age));
    }
    return new ListedUpstreamsMessage(list);
  }
}
