package io.jacinthquay.router.service.forward;

import static io.jacinthquay.router.service.forward.ForwardStep.Kind.ARRIVE;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.BREAK;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.CLOSED_DOMAINS;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.DATA;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.END;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.LINK;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.LOADS;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.OPEN;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.PROOF;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.STAND_STILL;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.SUCCESS;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.TIMER;
import static io.jacinthquay.router.service.forward.ForwardStep.Kind.UNPROVEN;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.router.service.forward.ForwardOracle.Promise;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Short sequences of events; most were found by {@link ForwardRunProperties}. */
final class ForwardRunTest {
  /** Timers of a first request, in the order in which they are set. */
  private static final int WATCH = 0;

  private static final int LIMIT = 1;

  /** A link on which connections are refused. */
  private static final int REFUSED = 2;

  /** Data that is a whole event after one that is missing. */
  private static final int EVENT_AFTER_GAP = 0;

  /** Data that is a whole event with the next number. */
  private static final int NEXT_EVENT = 3;

  private ForwardWorld world = new ForwardWorld(List.of(1), true);

  private void play(ForwardStep.Kind kind, int pick, int detail) {
    world.play(ForwardStep.of(kind, pick, detail));
  }

  private void keeps(Promise promise) {
    world.finish();
    world.oracle().assertKept(promise);
  }

  @Test
  void requestRefusedAtItsLimitIsNotSentOnceItsConnectionOpens() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(TIMER, LIMIT, 0);
    play(OPEN, 0, 0);
    keeps(Promise.REFUSED_MEANS_NOT_RUN);
  }

  @Test
  void connectionIsNotLeftOpeningByARequestThatReachedItsLimit() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(TIMER, LIMIT, 0);
    keeps(Promise.OVER_MEANS_CANCELLED);
  }

  @Test
  void callerRefusedAtItsLimitIsNotCutOffWhenAnUpstreamRefusesToo() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(TIMER, LIMIT, 0);
    play(OPEN, 0, 0);
    play(PROOF, 0, 0);
    keeps(Promise.ONE_ANSWER);
  }

  /** Details 0 to 3 are the statuses 503, 429, 408 and 421. */
  @ParameterizedTest
  @CsvSource({"once1, 0", "once1, 1", "once1, 2", "once1, 3", "safe1, 0", "stream1, 0"})
  void refusalOfAnUpstreamWithoutProofIsNotPassedOn(String route, int status) {
    play(ARRIVE, 0, ForwardRoutes.index(route));
    play(OPEN, 0, 0);
    play(UNPROVEN, 0, status);
    play(DATA, 0, NEXT_EVENT);
    play(END, 0, 0);
    keeps(Promise.REFUSED_MEANS_NOT_RUN);
  }

  @Test
  void restOfAnAnswerThatIsIgnoredIsNotWaitedForWithoutEnd() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(OPEN, 0, 0);
    play(PROOF, 0, 0);
    keeps(Promise.NO_ANSWER_LEFT_OPEN);
  }

  @Test
  void streamGoesOnElsewhereAfterAnAnswerWithAGap() {
    world = new ForwardWorld(List.of(1, 1), true);
    play(ARRIVE, 0, ForwardRoutes.index("resume2"));
    RecordedCaller caller = world.oracle().caller(0).orElseThrow();
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
  void refusalThatFollowsABreakAtAnotherUpstreamIsNotPassedOn() {
    world = new ForwardWorld(List.of(1, 1), true);
    play(ARRIVE, 0, ForwardRoutes.index("safe2"));
    RecordedCaller caller = world.oracle().caller(0).orElseThrow();
    play(OPEN, 0, 0);
    play(BREAK, 0, 0);
    play(OPEN, 0, 0);
    play(PROOF, 0, 0);
    assertEquals("answer 502 ended", caller.toString());
  }

  /**
   * The own failure domain is out, two upstreams of the other can't be reached, and control VMs are
   * silent for 20 s; with any one of the three missing callers may still come.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 2, true, false",
    "0, 2, true, true",
    "1, 1, true, true",
    "1, 2, false, true",
  })
  void callersAreSentElsewhereByARouterThatReachesNothing(
      int closed, int unreachable, boolean silent, boolean ready) {
    world = new ForwardWorld(List.of(1, 1, 1, 1), true);
    play(LOADS, 0, 0);
    play(CLOSED_DOMAINS, 0, closed);
    play(LINK, 1, REFUSED);
    play(LINK, 3, unreachable == 2 ? REFUSED : 0);
    play(ARRIVE, 0, ForwardRoutes.index("safe2"));
    play(ARRIVE, 0, ForwardRoutes.index("safe2"));
    if (silent) {
      play(STAND_STILL, 0, 0);
    }
    assertEquals(ready, world.isReady());
  }

  @Test
  void requestWhoseLimitPassesWhileItRunsIsCancelledAndNotRefused() {
    play(ARRIVE, 0, ForwardRoutes.index("once1"));
    play(OPEN, 0, 0);
    play(TIMER, WATCH, 0);
    world.finish();
    for (Promise promise : Promise.values()) {
      world.oracle().assertKept(promise);
    }
  }
}
