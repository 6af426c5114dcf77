package io.jacinthquay.router.service.forward;

import static io.jacinthquay.router.service.forward.ForwardStep.Kind.ARRIVE;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.BREAK;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.CLOSED_DOMAINS;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.DATA;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.END;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.LINK;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.LOADS;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.OPEN;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.PAUSE_PROCESS;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.PROOF;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.SUCCESS;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.TIMER;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.UNPROVEN;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.router.service.forward.ForwardOracle.Invariant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Regression tests with short sequences of events, as in {@link ForwardExchangeProperties}. */
final class ForwardExchangeTest {
  /** Index of the timer that checks for silent upstreams, which the first request sets first. */
  private static final int SILENCE_CHECK_TIMER = 0;

  /** Index of the deadline timer of the first request. */
  private static final int DEADLINE_TIMER = 1;

  /** Detail of a link event: connections are refused. */
  private static final int REFUSED_LINK = 2;

  /** Detail of a data event: a whole stream event that follows a gap in the ids. */
  private static final int EVENT_AFTER_GAP = 0;

  /** Detail of a data event: a whole stream event with the next id. */
  private static final int NEXT_EVENT = 3;

  private ForwardSimulation simulation = new ForwardSimulation(List.of(1), true);

  private void play(ForwardStep.Kind kind, int pick, int detail) {
    simulation.play(ForwardStep.of(kind, pick, detail));
  }

  private void assertHolds(Invariant invariant) {
    simulation.finish();
    simulation.oracle().assertHolds(invariant);
  }

  @Test
  void requestRefusedAtItsDeadlineIsNotSentWhenItsConnectionOpens() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(TIMER, DEADLINE_TIMER, 0);
    play(OPEN, 0, 0);
    assertHolds(Invariant.REFUSED_MEANS_NOT_RUN);
  }

  @Test
  void requestRefusedAtItsDeadlineCancelsItsPendingConnection() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(TIMER, DEADLINE_TIMER, 0);
    assertHolds(Invariant.NO_PENDING_SEND_AFTER_END);
  }

  @Test
  void callerRefusedAtItsDeadlineGetsNoSecondAnswerWhenAnUpstreamRefuses() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(TIMER, DEADLINE_TIMER, 0);
    play(OPEN, 0, 0);
    play(PROOF, 0, 0);
    assertHolds(Invariant.AT_MOST_ONE_ANSWER);
  }

  /** Details 0 to 3 are the statuses 503, 429, 408 and 421. */
  @ParameterizedTest
  @CsvSource({"once1, 0", "once1, 1", "once1, 2", "once1, 3", "safe1, 0", "stream1, 0"})
  void upstreamRefusalWithoutProofIsNotForwarded(String route, int status) {
    play(ARRIVE, 0, ForwardRoutes.index(route));
    play(OPEN, 0, 0);
    play(UNPROVEN, 0, status);
    play(DATA, 0, NEXT_EVENT);
    play(END, 0, 0);
    assertHolds(Invariant.REFUSED_MEANS_NOT_RUN);
  }

  @Test
  void unusedAnswerIsNotReadForever() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(OPEN, 0, 0);
    play(PROOF, 0, 0);
    assertHolds(Invariant.NO_UNUSED_ANSWER_STILL_READ);
  }

  @Test
  void streamResumesAtAnotherUpstreamAfterAGapInEventIds() {
    simulation = new ForwardSimulation(List.of(1, 1), true);
    play(ARRIVE, 0, ForwardRoutes.index("resume2"));
    RecordingCaller caller = simulation.oracle().caller(0).orElseThrow();
    play(OPEN, 0, 0);
    play(SUCCESS, 0, 0);
    play(DATA, 0, NEXT_EVENT);
    play(DATA, 0, EVENT_AFTER_GAP);
    play(OPEN, 0, 0);
    play(SUCCESS, 0, 0);
    play(DATA, 0, NEXT_EVENT);
    play(DATA, 0, NEXT_EVENT);
    play(END, 0, 0);
    assertEquals("answer 200 ended", caller.toString());
  }

  @Test
  void refusalAfterABrokenSendIsReportedAsFailure() {
    simulation = new ForwardSimulation(List.of(1, 1), true);
    play(ARRIVE, 0, ForwardRoutes.index("safe2"));
    RecordingCaller caller = simulation.oracle().caller(0).orElseThrow();
    play(OPEN, 0, 0);
    play(BREAK, 0, 0);
    play(OPEN, 0, 0);
    play(PROOF, 0, 0);
    assertEquals("answer 502 ended", caller.toString());
  }

  /**
   * The router's failure domain is closed, both upstreams of the other domain are unreachable, and
   * the control VMs are silent for 20 s. If any one of the three does not hold, the router stays
   * ready.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 2, true, false",
    "0, 2, true, true",
    "1, 1, true, true",
    "1, 2, false, true",
  })
  void routerWithoutAnyContactIsNotReady(
      int closedDomains, int unreachable, boolean silent, boolean ready) {
    simulation = new ForwardSimulation(List.of(1, 1, 1, 1), true);
    play(LOADS, 0, 0);
    play(CLOSED_DOMAINS, 0, closedDomains);
    play(LINK, 1, REFUSED_LINK);
    play(LINK, 3, unreachable == 2 ? REFUSED_LINK : 0);
    play(ARRIVE, 0, ForwardRoutes.index("safe2"));
    play(ARRIVE, 0, ForwardRoutes.index("safe2"));
    if (silent) {
      play(PAUSE_PROCESS, 0, 0);
    }
    assertEquals(ready, simulation.isReady());
  }

  @Test
  void requestThatRunsAtItsDeadlineIsCancelledAndNotRefused() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(OPEN, 0, 0);
    play(TIMER, SILENCE_CHECK_TIMER, 0);
    simulation.finish();
    for (Invariant invariant : Invariant.values()) {
      simulation.oracle().assertHolds(invariant);
    }
  }
}
