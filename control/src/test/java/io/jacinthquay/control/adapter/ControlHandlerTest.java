package io.jacinthquay.control.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.control.service.ControlStore;
import io.jacinthquay.control.service.DomainRelay;
import io.jacinthquay.control.service.ImmediateLog;
import io.jacinthquay.control.service.LeaderClusterView;
import io.jacinthquay.control.service.Leadership;
import io.jacinthquay.control.service.MedianClock;
import io.jacinthquay.control.service.PartQuarantine;
import io.jacinthquay.control.service.PoolVersionMonitor;
import io.jacinthquay.control.service.RelayDirectory;
import io.jacinthquay.control.service.RouterRegistry;
import io.jacinthquay.control.service.SignalsTable;
import io.jacinthquay.control.service.StreamOriginAnswers;
import io.jacinthquay.control.service.StreamOriginsTable;
import io.jacinthquay.control.service.UpstreamListCache;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.runtime.time.ClockReading;
import io.jacinthquay.wire.convert.OriginMessages;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ControlHandlerTest {
  private static final long LIST_NUMBER = 1;

  private final ControlState state = new ControlState();
  private final ImmediateLog log = new ImmediateLog(state);
  private final ControlStore store = new ControlStore(log, state, 0);
  private final UpstreamListCache upstreamList = new UpstreamListCache();
  private final Leadership leadership =
      new Leadership("vm-1", Duration.ofSeconds(1), () -> new ClockReading(0, 0));

  private ControlHandler leaderHandler() {
    leadership.recordConfirmation(store.status(), new ClockReading(0, 0));
    return handler();
  }

  private ControlHandler handler() {
    upstreamList.update(List.of(), 0, 0);
    return newHandler();
  }

  private ControlHandler newHandler() {
    StreamOriginsTable origins = new StreamOriginsTable(() -> 0, () -> 1);
    PoolVersionMonitor versions = new PoolVersionMonitor(store, upstreamList, () -> 0, () -> 0);
    return new ControlHandler(
        store,
        leadership,
        new LeaderClusterView(
            store,
            new RouterRegistry(() -> 0),
            new SignalsTable(() -> 0),
            new MedianClock(() -> 0, () -> 0),
            new PartQuarantine(store, () -> 0, () -> 0),
            origins),
        new DomainRelay("127.0.0.1:9", "a", store, upstreamList, () -> 0),
        new RelayDirectory(() -> 0),
        upstreamList,
        new StreamOriginAnswers(leadership, origins, versions));
  }

  private static RouterReportMessage report(long term) {
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter("r");
    report.setDomain("a");
    report.setLoads(new ArrayList<>());
    report.setCounts(new ArrayList<>());
    report.setDemand(new ArrayList<>());
    report.setReads(new ArrayList<>());
    report.setListNumber(LIST_NUMBER);
    report.setReadsTerm(term);
    return report;
  }

  /**
   * A leader that was killed and elected again numbers its lists anew. A router that held list 1 of
   * the former term kept that list and used upstreams that no longer existed.
   */
  @ParameterizedTest
  @CsvSource({"1, false", "0, true"})
  void sendsListAgainToRouterThatHoldsOneOfAnotherTerm(long routerTerm, boolean listSent) {
    assertEquals(1, store.status().term());
    ControlViewMessage view = leaderHandler().exchange(report(routerTerm));
    assertEquals(LIST_NUMBER, view.getListNumber());
    assertEquals(listSent, view.isSetUpstreams());
  }

  /**
   * While nobody leads, routers learn from any VM that an upstream leaves; the list is sent only to
   * those that need it and don't hold it.
   */
  @ParameterizedTest
  @CsvSource({"-1, true, true", "0, true, true", "1, false, true", "-2, false, false"})
  void vmThatDoesNotLeadSendsItsList(long heldNumber, boolean listSent, boolean searched) {
    long polledNanos = System.nanoTime() - 5_000_000_000L;
    ControlHandler handler = handler();
    upstreamList.recordUnchanged(polledNanos);
    RouterReportMessage report = report(0);
    report.setListNumber(heldNumber);
    ControlViewMessage view = handler.exchange(report);
    assertFalse(view.isLeads() || view.isRelays());
    assertEquals(listSent, view.isSetUpstreams());
    assertEquals(searched, upstreamList.isSearched(System.nanoTime()));
    assertEquals(searched ? LIST_NUMBER : 0, view.getListNumber());
    if (searched) {
      assertTrue(view.getListAgeMillis() >= 5_000, view.getListAgeMillis() + " ms");
    }
    assertFalse(view.isSetDocument() || view.isSetClosedDomains());
  }

  /** A VM that has not polled the platform yet has no list, not an empty one. */
  @Test
  void vmWithoutAListSendsNone() {
    RouterReportMessage report = report(0);
    report.setListNumber(-1);
    ControlHandler handler = newHandler();
    assertFalse(handler.exchange(report).isSetUpstreams());
  }

  @ParameterizedTest
  @CsvSource({"1, false", "0, true"})
  void sendsListAgainToRelayThatHoldsOneOfAnotherTerm(long relayTerm, boolean listSent) {
    RelayReportMessage report =
        new RelayReportMessage("127.0.0.1:8", "b", List.of(report(1)), LIST_NUMBER, 0, relayTerm);
    ControlViewMessage view = leaderHandler().relay(report);
    assertTrue(view.isLeads());
    assertEquals(listSent, view.isSetUpstreams());
    assertEquals(1, view.getRouters());
  }

  /** A router reports a stream and ends; another one asks for it, and for one that nobody knows. */
  @ParameterizedTest
  @CsvSource({"true, 1", "false, 0"})
  void onlyTheLeaderAnswersForStreams(boolean leads, int found) {
    ControlHandler handler = leads ? leaderHandler() : handler();
    RouterReportMessage report = report(1);
    StreamId stream = StreamId.of(Optional.empty(), "attempt-1");
    report.addToOrigins(new StreamOriginMessage(ByteBuffer.wrap(stream.bytes()), "p", "v1", 5));
    assertEquals(leads, handler.exchange(report).getOriginsEpoch() != 0);
    StreamOriginsMessage answer =
        handler.findOrigins(
            List.of(
                OriginMessages.toQuestion(Optional.of(stream), new PoolName("p")),
                OriginMessages.toQuestion(
                    Optional.of(StreamId.of(Optional.empty(), "other")), new PoolName("p")),
                OriginMessages.toQuestion(Optional.empty(), new PoolName("p"))));
    assertEquals(leads, answer.isLeads());
    assertEquals(leads, answer.isRecovering());
    assertEquals(found, answer.getFoundSize());
    assertTrue(answer.getFound().stream().allMatch(origin -> origin.getVersion().equals("v1")));
  }
}
