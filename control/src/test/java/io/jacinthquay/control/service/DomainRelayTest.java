package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.PrefixReadMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Ninety-five routers in five failure domains, seen from one of them. */
final class DomainRelayTest {
  private static final long MILLI = 1_000_000L;
  private static final String DOMAIN = "a";
  private static final MemberId LEADER = new MemberId("127.0.0.1:1");
  private static final MemberId OTHER_LEADER = new MemberId("127.0.0.1:2");

  private final ControlState state = new ControlState();
  private final AtOnceLog log = new AtOnceLog(state);
  private final ControlStore store = new ControlStore(log, state, 0);
  private long now;
  private final DomainRelay relay =
      new DomainRelay("127.0.0.1:3", DOMAIN, store, new UpstreamFeed(), () -> now);

  private static RouterReportMessage report(String router, int inFlight) {
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter(router);
    report.setDomain(DOMAIN);
    report.setLoads(List.of(new UpstreamLoadMessage("u", inFlight, 10, 20, 0.5)));
    report.setCounts(new ArrayList<>());
    report.setDemand(new ArrayList<>());
    report.setReads(new ArrayList<>());
    report.setWallMillis(1_000);
    return report;
  }

  private static ControlViewMessage view(int inFlightElsewhere) {
    ControlViewMessage view = new ControlViewMessage();
    view.setDocumentVersion(-1);
    view.setRouters(95);
    view.setWallMillis(50_000);
    view.setOtherLoads(List.of(new UpstreamLoadMessage("u", inFlightElsewhere, 10, 20, 0.5)));
    view.setReads(new ArrayList<>());
    view.setReadsNumber(7);
    view.setReadsTerm(3);
    return view;
  }

  private void told(int inFlightElsewhere) {
    relay.report(LEADER);
    relay.told(LEADER, view(inFlightElsewhere), now);
  }

  @Test
  void tellWhatTheDomainAndAllOthersHaveUnderWay() {
    relay.heard(report("r1", 2));
    relay.heard(report("r2", 3));
    told(40);
    assertTrue(relay.serves(DOMAIN));
    assertEquals(Map.of("u", new UpstreamLoad(43, 20, 40, 1.0)), relay.loadsBeside("r1"));
    assertEquals(95, relay.routers());
  }

  /** Routers would act on a leader's view for as long as the relay lives. */
  @Test
  void tellNothingOnceTheLeaderIsSilent() {
    assertFalse(relay.serves(DOMAIN), "nothing is known yet");
    told(1);
    now += 500 * MILLI;
    assertTrue(relay.serves(DOMAIN));
    now += 200 * MILLI;
    assertFalse(relay.serves(DOMAIN));
  }

  @Test
  void serveNoRouterOfAnotherDomain() {
    told(1);
    assertFalse(relay.serves("b"));
  }

  /** A replica whose disk stalls lacks a change that is in force. */
  @Test
  void tellNothingOnceAChangeDoesNotArriveHere() {
    told(1);
    assertTrue(relay.serves(DOMAIN));
    ControlViewMessage newer = view(1);
    newer.setDocumentVersion(5);
    for (int call = 0; call < 5; call++) {
      relay.told(LEADER, newer, now);
      assertTrue(relay.serves(DOMAIN) || call == 4, "a change may take some heartbeats");
      now += 100 * MILLI;
    }
    relay.told(LEADER, newer, now);
    assertFalse(relay.serves(DOMAIN));
    log.propose(ControlState.document(5, new byte[] {1}));
    assertTrue(relay.serves(DOMAIN));
  }

  /** Reports carry the usage of routers; one that a leader may not have heard is sent again. */
  @Test
  void keepWhatTheLeaderDidNotHear() {
    relay.heard(report("r1", 2));
    now += 50 * MILLI;
    RelayReportMessage lost = relay.report(LEADER);
    assertEquals(1_050, lost.getReports().get(0).getWallMillis());
    relay.heard(report("r2", 2));
    now += 100 * MILLI;
    relay.unheard(lost);
    RelayReportMessage next = relay.report(LEADER);
    assertEquals(
        List.of("r1", "r2"),
        next.getReports().stream().map(RouterReportMessage::getRouter).toList());
    assertEquals(1_150, next.getReports().get(0).getWallMillis());
    assertEquals(1_100, next.getReports().get(1).getWallMillis());
    assertTrue(relay.report(LEADER).getReports().isEmpty());
  }

  /** Another leader numbers lists and reads anew. */
  @Test
  void askAnotherLeaderForEverything() {
    told(1);
    assertEquals(7, relay.report(LEADER).getReadsSeen());
    RelayReportMessage toOther = relay.report(OTHER_LEADER);
    assertEquals(0, toOther.getReadsSeen());
    assertEquals(-1, toOther.getListNumber());
  }

  @Test
  void passOnReadsOfTheDomainAndOfOthers() {
    PrefixReadMessage near = new PrefixReadMessage("u1", List.of(1L), List.of(2_000));
    PrefixReadMessage far = new PrefixReadMessage("u2", List.of(2L), List.of(2_000));
    RouterReportMessage report = report("r1", 1);
    report.setReads(List.of(near));
    relay.heard(report);
    ControlViewMessage view = view(1);
    view.setReads(List.of(far));
    relay.told(LEADER, view, now);
    assertEquals(List.of(near, far), relay.reads().after(0, "r2"));
    assertEquals(List.of(far), relay.reads().after(0, "r1"));
  }

  /** A few routers ask the leader themselves; the relay then seldom calls. */
  @Test
  void restWhereRoutersAreFew() {
    ControlViewMessage few = view(1);
    few.setRouters(9);
    relay.told(LEADER, few, now);
    assertFalse(relay.serves(DOMAIN));
    assertFalse(relay.isDue());
    now += 1_000 * MILLI;
    assertTrue(relay.isDue());
  }
}
