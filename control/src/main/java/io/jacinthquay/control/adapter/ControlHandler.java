package io.jacinthquay.control.adapter;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.control.service.ControlStore;
import io.jacinthquay.control.service.Leadership;
import io.jacinthquay.control.service.PrefixReads;
import io.jacinthquay.control.service.RouterRegistry;
import io.jacinthquay.control.service.SharedTime;
import io.jacinthquay.control.service.UpstreamFeed;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.decision.dispatch.Listing;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.ListedUpstreamMessage;
import io.jacinthquay.wire.gen.ListedUpstreamsMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.util.ArrayList;
import java.util.List;

/** Answers routers: the leader with all that they lack, others with who leads. */
public final class ControlHandler implements Control.Iface {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlStore store;
  private final Leadership leadership;
  private final RouterRegistry routers;
  private final SharedTime time;
  private final UpstreamFeed feed;
  private final PrefixReads reads = new PrefixReads();

  /** Returns a handler. */
  public ControlHandler(
      ControlStore store,
      Leadership leadership,
      RouterRegistry routers,
      SharedTime time,
      UpstreamFeed feed) {
    this.store = store;
    this.leadership = leadership;
    this.routers = routers;
    this.time = time;
    this.feed = feed;
  }

  @Override
  public ControlViewMessage exchange(RouterReportMessage report) {
    ControlViewMessage view = new ControlViewMessage();
    LogStatus status = store.status();
    Membership membership = status.membership();
    view.setMembers(
        new ArrayList<>(membership.replicas().stream().map(r -> r.member().value()).toList()));
    boolean fromRouter = !report.getRouter().isEmpty();
    view.setReplicas(
        fromRouter
            ? List.of()
            : new ArrayList<>(status.takingPart().stream().map(ReplicaId::toString).toList()));
    view.setLeader(store.leader().map(member -> member.value()).orElse(""));
    view.setOtherLoads(new ArrayList<>());
    view.setReads(new ArrayList<>());
    view.setLeads(leadership.isConfirmed());
    if (view.isLeads()) {
      if (fromRouter) {
        routers.heard(report);
        time.heard(report.getRouter(), report.getWallMillis());
      }
      fill(view, report);
    }
    view.setWallMillis(time.millis());
    return view;
  }

  private void fill(ControlViewMessage view, RouterReportMessage report) {
    ControlTables tables = store.tables();
    view.setDocumentVersion(tables.version());
    if (tables.version() != report.getDocumentVersion()) {
      tables.document().ifPresent(view::setDocument);
    }
    view.setClosedIndex(tables.closedIndex());
    if (tables.closedIndex() != report.getClosedIndex()) {
      view.setClosedDomains(new ArrayList<>(tables.closedDomains().toJavaList()));
    }
    long term = store.status().term();
    reads.add(report.getRouter(), report.getReads());
    long seen = report.getReadsTerm() == term ? report.getReadsSeen() : 0;
    view.setReads(reads.after(seen, report.getRouter()));
    view.setReadsNumber(reads.number());
    view.setReadsTerm(term);
    UpstreamFeed.Reading reading = feed.reading();
    view.setListNumber(reading.number());
    if (reading.number() > 0 && reading.number() != report.getListNumber()) {
      view.setUpstreams(upstreams(reading));
    }
    view.setListAgeMillis((System.nanoTime() - reading.readNanos()) / NANOS_PER_MILLI);
    view.setRouters(routers.count());
    List<UpstreamLoadMessage> loads = new ArrayList<>();
    routers
        .loadsBeside(report.getRouter())
        .forEach((upstream, load) -> loads.add(UpstreamMessages.toMessage(upstream, load)));
    view.setOtherLoads(loads);
  }

  private static ListedUpstreamsMessage upstreams(UpstreamFeed.Reading reading) {
    long age = (System.nanoTime() - reading.readNanos()) / NANOS_PER_MILLI;
    List<ListedUpstreamMessage> list = new ArrayList<>();
    for (Listing listing : reading.listings()) {
      list.add(UpstreamMessages.toMessage(listing, age));
    }
    return new ListedUpstreamsMessage(list);
  }
}
