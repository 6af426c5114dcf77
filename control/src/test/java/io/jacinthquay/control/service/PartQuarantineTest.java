package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.wire.gen.BrokenSendMessage;
import io.jacinthquay.wire.gen.EstablishedPartMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import java.util.List;
import org.junit.jupiter.api.Test;

final class PartQuarantineTest {
  private static final long DEADLY = 0xdead;
  private static final long SHARED = 0x5a;
  private static final long ROUTER_WALL_MILLIS = 1_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlState state = new ControlState();
  private long nowMillis = 5_000;
  private final PartQuarantine quarantine =
      new PartQuarantine(
          new ControlStore(new ImmediateLog(state), state, 0),
          () -> nowMillis * NANOS_PER_MILLI,
          () -> nowMillis);

  private static RouterReportMessage report(String router) {
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter(router);
    report.setWallMillis(ROUTER_WALL_MILLIS);
    return report;
  }

  private void reportCrash(String router, String upstream, long ageMillis) {
    RouterReportMessage report = report(router);
    report.addToBrokenSends(
        new BrokenSendMessage(upstream, List.of(SHARED, DEADLY), ROUTER_WALL_MILLIS - ageMillis));
    quarantine.recordReport(report);
  }

  private void reportEstablished(long part, long ageMillis) {
    RouterReportMessage report = report("r9");
    report.addToEstablishedParts(new EstablishedPartMessage(part, ROUTER_WALL_MILLIS - ageMillis));
    quarantine.recordReport(report);
  }

  private List<Long> quarantined() {
    return state.tables().quarantine().entries().stream()
        .map(entry -> entry.part().value())
        .toList();
  }

  private void quarantineByThreeRouters() {
    for (String router : List.of("r1", "r2", "r3")) {
      reportCrash(router, "i-" + router, 0);
      reportEstablished(SHARED, 0);
      nowMillis += 1_000;
    }
    quarantine.confirm();
  }

  /** Each router sees one crash, which is no evidence on its own. */
  @Test
  void crashesSeenByDifferentRoutersQuarantineThePartTheyShare() {
    quarantineByThreeRouters();
    assertEquals(List.of(DEADLY), quarantined());
    assertEquals(List.of(), quarantine.suspects());
  }

  @Test
  void evidenceThatIsRepeatedCountsOnce() {
    for (int i = 0; i < 6; i++) {
      reportCrash("r1", "i-1", 2_000L * i);
      nowMillis += 2_000;
    }
    quarantine.confirm();
    assertEquals(List.of(), quarantined());
  }

  @Test
  void routersAreToldOfSuspectsUntilAnAnswerIsUnderWay() {
    reportCrash("r1", "i-1", 10);
    assertEquals(2, quarantine.suspects().size());
    nowMillis += 100;
    reportEstablished(SHARED, 5);
    assertEquals(List.of(new PartId(DEADLY)), quarantine.suspects());
  }

  @Test
  void answerFromBeforeTheQuarantineDoesNotEndIt() {
    quarantineByThreeRouters();
    nowMillis += 100;
    reportEstablished(DEADLY, 200);
    assertEquals(List.of(DEADLY), quarantined());
    reportEstablished(DEADLY, 50);
    assertEquals(List.of(), quarantined());
  }

  @Test
  void oneRouterMayTryARequestWhenTheTrialIsDue() {
    quarantineByThreeRouters();
    RouterReportMessage rejecting = report("r1").setRejectedParts(List.of(DEADLY));
    assertEquals(List.of(), quarantine.trials(rejecting));
    nowMillis += 60_000;
    assertEquals(List.of(), quarantine.trials(report("r1")));
    assertEquals(List.of(new PartId(DEADLY)), quarantine.trials(rejecting));
    assertEquals(List.of(), quarantine.trials(rejecting));
    QuarantinedPart entry = state.tables().quarantine().get(new PartId(DEADLY)).orElseThrow();
    assertEquals(1, entry.trials());
    assertTrue(entry.retryAtMillis() - nowMillis > 60_000);
  }
}
