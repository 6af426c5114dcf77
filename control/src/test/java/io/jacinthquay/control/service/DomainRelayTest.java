package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.PrefixReadMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the relay of one of five failure domains, which hold ninety-five routers together. */
final class DomainRelayTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final String DOMAIN = "a";
  private static final MemberId LEADER = new MemberId("127.0.0.1:1");
  private static final MemberId OTHER_LEADER = new MemberId("127.0.0.1:2");

  private final ControlState state = new ControlState();
  private final ImmediateLog log = new ImmediateLog(state);
  private final ControlStore store = new ControlStore(log, state, 0);
  private long now;
  private final DomainRelay relay =
      new DomainRelay("127.0.0.1:3", DOMAIN, store, new UpstreamListCache(), () -> now);

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

  private void applyLeaderView(int inFlightElsewhere) {
    relay.takeReport(LEADER);
    relay.applyView(LEADER, view(inFlightElsewhere), now);
  }

  @Test
  void sumsLoadOfItsDomainAndAllOthers() {
    relay.addReport(report("r1", 2));
    relay.addReport(report("r2", 3));
    applyLeaderView(40);
    assertTrue(relay.serves(DOMAIN));
    assertEquals(Map.of("u", new UpstreamLoad(43, 20, 40, 1.0)), relay.loadsOfOthers("r1"));
    assertEquals(95, relay.routers());
  }

  /** A relay that went on without its leader would serve an old view for as long as it runs. */
  @Test
  void servesNoRouterOnceLeaderViewIsStale() {
    assertFalse(relay.serves(DOMAIN), "the relay has no view yet");
    applyLeaderView(1);
    now += 500 * NANOS_PER_MILLI;
    assertTrue(relay.serves(DOMAIN));
    now += 200 * NANOS_PER_MILLI;
    assertFalse(relay.serves(DOMAIN));
  }

  @Test
  void servesNoRouterOfAnotherDomain() {
    applyLeaderView(1);
    assertFalse(relay.serves("b"));
  }

  /** A replica whose disk stalls lacks a change that is in force elsewhere. */
  @Test
  void servesNoRouterWhileItsReplicaLacksAChange() {
    applyLeaderView(1);
    assertTrue(relay.serves(DOMAIN));
    ControlViewMessage newerView = view(1);
    newerView.setDocumentVersion(5);
    for (int call = 0; call < 5; call++) {
      relay.applyView(LEADER, newerView, now);
      assertTrue(relay.serves(DOMAIN) || call == 4, "a change may take a few heartbeats to arrive");
      now += 100 * NANOS_PER_MILLI;
    }
    relay.applyView(LEADER, newerView, now);
    assertFalse(relay.serves(DOMAIN));
    log.propose(ControlState.documentCommand(5, new byte[] {1}));
    assertTrue(relay.serves(DOMAIN));
  }

  /**
   * Reports carry the usage of routers: one that the leader may not have received must be sent
   * again.
   */
  @Test
  void resendsReportsOfAFailedCall() {
    relay.addReport(report("r1", 2));
    now += 50 * NANOS_PER_MILLI;
    RelayReportMessage lost = relay.takeReport(LEADER);
    assertEquals(1_050, lost.getReports().get(0).getWallMillis());
    relay.addReport(report("r2", 2));
    now += 100 * NANOS_PER_MILLI;
    relay.requeue(lost);
    RelayReportMessage next = relay.takeReport(LEADER);
    assertEquals(
        List.of("r1", "r2"),
        next.getReports().stream().map(RouterReportMessage::getRouter).toList());
    assertEquals(1_150, next.getReports().get(0).getWallMillis());
    assertEquals(1_100, next.getReports().get(1).getWallMillis());
    assertTrue(relay.takeReport(LEADER).getReports().isEmpty());
  }

  /**
   * Another leader numbers lists and cached prefixes anew, so that the old numbers mean nothing to
   * it.
   */
  @Test
  void asksAnotherLeaderForListAndAllPrefixes() {
    applyLeaderView(1);
    assertEquals(7, relay.takeReport(LEADER).getReadsSeen());
    RelayReportMessage reportToOther = relay.takeReport(OTHER_LEADER);
    assertEquals(0, reportToOther.getReadsSeen());
    assertEquals(-1, reportToOther.getListNumber());
  }

  @Test
  void passesOnCachedPrefixesOfItsDomainAndOfOthers() {
    PrefixReadMessage localPrefix = new PrefixReadMessage("u1", List.of(1L), List.of(2_000));
    PrefixReadMessage remotePrefix = new PrefixReadMessage("u2", List.of(2L), List.of(2_000));
    RouterReportMessage report = report("r1", 1);
    report.setReads(List.of(localPrefix));
    relay.addReport(report);
    ControlViewMessage view = view(1);
    view.setReads(List.of(remotePrefix));
    relay.applyView(LEADER, view, now);
    assertEquals(List.of(localPrefix, remotePrefix), relay.cachedPrefixes().entriesAfter(0, "r2"));
    assertEquals(List.of(remotePrefix), relay.cachedPrefixes().entriesAfter(0, "r1"));
  }

  /** A few routers call the leader directly; their relay then calls less often. */
  @Test
  void callsSeldomWhereRoutersAreFew() {
    ControlViewMessage smallView = view(1);
    smallView.setRouters(9);
    relay.applyView(LEADER, smallView, now);
    assertFalse(relay.serves(DOMAIN));
    now += 200 * NANOS_PER_MILLI;
    assertFalse(relay.isDue());
    now += 100 * NANOS_PER_MILLI;
    assertTrue(relay.isDue());
  }

  /** Streams are reported once, so those in a report that the leader never gets must come again. */
  @Test
  void changesTheEpochOfStreamsOnceAReportWithStreamsIsLost() {
    ControlViewMessage view = view(1);
    view.setOriginsEpoch(77);
    relay.applyView(LEADER, view, now);
    assertEquals(77, relay.originsEpoch());
    RouterReportMessage report = report("r1", 1);
    report.addToOrigins(new StreamOriginMessage(ByteBuffer.allocate(16), "p", "v1", 0));
    relay.addReport(report);
    for (int other = 0; other < 511; other++) {
      relay.addReport(report("r2", 1));
    }
    assertEquals(77, relay.originsEpoch());
    relay.addReport(report("r2", 1));
    assertNotEquals(77, relay.originsEpoch());
    long epoch = relay.originsEpoch();
    relay.addReport(report("r2", 1));
    assertEquals(epoch, relay.originsEpoch());
  }
}
