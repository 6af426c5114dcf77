package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** What excuses a lost request, a late answer or the end of a process, and what doesn't. */
final class LossChecksTest {
  private static final RequestId ID = new RequestId("c1-1");
  private static final int ROUTER = 2;
  private static final int UPSTREAM = 5;
  private static final int PORT = 40_000;

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Call call(
      CallKind kind, Call.Ending ending, int status, String body, long endMillis) {
    return new Call(ID, kind, ROUTER, PORT, 0, nanos(endMillis), ending, status, body, 2_000);
  }

  private static History.OwnEnd ownEnd(FaultKind.Where where, int number) {
    return new History.OwnEnd(where, number, 1, nanos(1_000), List.of("the last line"));
  }

  /** A control VM ends at 1 s; a period lasts 500 ms longer than its fault. */
  @ParameterizedTest
  @CsvSource({
    "CONTROL_PAUSED, 2, 500, true",
    "CONTROL_PAUSED, 2, 499, false",
    "CONTROL_PAUSED, 1, 1000, false",
    "CONTROLS_KILLED, -1, 500, true",
    "OPERATORS_ONE_WAY, 2, 500, true",
    "ROUTER_KILLED, 2, 1000, false",
    "UPSTREAM_RESET, 2, 1000, false",
    "PLATFORM_SILENT, 2, 1000, false"
  })
  void endIsExcusedOnlyByADisturbanceOfItsMachine(
      FaultKind kind, int target, long untilMillis, boolean excused) {
    History history = new History();
    history.add(ownEnd(FaultKind.Where.CONTROL, 2));
    history.add(new FaultPeriod(kind, target, 0, nanos(untilMillis)));
    assertEquals(excused ? 0 : 1, new OwnEndCheck(false).judge(history).violations().size());
    assertEquals(excused ? 1 : 0, new OwnEndCheck(true).judge(history).violations().size());
  }

  @Test
  void reloadExcusesNoEnd() {
    History history = new History();
    history.add(ownEnd(FaultKind.Where.ROUTER, ROUTER));
    history.add(new FaultPeriod(FaultKind.ROUTER_HUP, ROUTER, 0, nanos(2_000)));
    List<String> violations = new OwnEndCheck(false).judge(history).violations();
    assertEquals(List.of("router 2 ended with code 1; its last lines: the last line"), violations);
  }

  static Stream<FaultPeriod> disturbancesOfARequest() {
    return Stream.of(
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER, nanos(-3_000), nanos(-2_990)),
        new FaultPeriod(FaultKind.CALLERS_RESET, ROUTER, nanos(50), nanos(60)),
        new FaultPeriod(FaultKind.UPSTREAM_RESET, UPSTREAM, nanos(50), nanos(60)),
        new FaultPeriod(FaultKind.OBSERVER_STALLED, -1, nanos(50), nanos(60)));
  }

  static Stream<FaultPeriod> noDisturbancesOfARequest() {
    return Stream.of(
        new FaultPeriod(FaultKind.ROUTER_HUP, ROUTER, nanos(50), nanos(60)),
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER, nanos(-4_000), nanos(-2_991)),
        new FaultPeriod(FaultKind.ROUTER_KILLED, ROUTER + 1, nanos(50), nanos(60)),
        new FaultPeriod(FaultKind.UPSTREAM_RESET, UPSTREAM, nanos(-20), nanos(9)),
        new FaultPeriod(FaultKind.UPSTREAM_RESET, UPSTREAM + 1, nanos(50), nanos(60)),
        new FaultPeriod(FaultKind.CONTROLS_KILLED, -1, nanos(50), nanos(60)));
  }

  private static Verdict judgeLostRequest(FaultPeriod period) {
    History history = new History();
    history.add(call(CallKind.ONCE, Call.Ending.BROKEN, 0, "", 100));
    history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
    history.add(period);
    return new LostRequestCheck().judge(history);
  }

  /** The request reaches its upstream after 10 ms, and its connection is closed after 100 ms. */
  @ParameterizedTest
  @MethodSource("disturbancesOfARequest")
  void disturbedRequestIsNotJudgedAsLost(FaultPeriod period) {
    Verdict verdict = judgeLostRequest(period);
    assertTrue(verdict.violations().isEmpty());
    assertEquals(1, verdict.notJudged());
  }

  @ParameterizedTest
  @MethodSource("noDisturbancesOfARequest")
  void lostRequestIsReportedBesideOtherFaults(FaultPeriod period) {
    assertEquals(1, judgeLostRequest(period).violations().size());
  }

  /** An answer that its upstream broke off, or whose time is up, may end early. */
  @ParameterizedTest
  @CsvSource({"100, true, 0", "1899, false, 1", "1900, false, 0"})
  void answerThatHadToEndIsNotLost(long endMillis, boolean truncated, int violations) {
    History history = new History();
    history.add(
        call(CallKind.STREAM, Call.Ending.BROKEN, 200, StreamTexts.event(ID, 1), endMillis));
    history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
    history.add(new Run(ID, CallKind.STREAM, UPSTREAM, nanos(10), nanos(90), 10, true, truncated));
    Verdict verdict = new LostRequestCheck().judge(history);
    assertEquals(violations, verdict.violations().size());
    assertEquals(1 - violations, verdict.notJudged());
  }

  /** The upstream that began a stream breaks off, and the one that could resume it refuses. */
  @ParameterizedTest
  @CsvSource({"200, true, 0", "200, false, 1", "0, true, 1"})
  void streamThatCannotBeResumedIsNotLost(int status, boolean truncated, int violations) {
    History history = new History();
    history.add(call(CallKind.RESUME, Call.Ending.BROKEN, status, "", 100));
    history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
    history.add(new Run(ID, CallKind.RESUME, UPSTREAM, nanos(10), nanos(50), 10, true, truncated));
    history.add(new History.Arrival(ID, UPSTREAM + 1, nanos(60)));
    assertEquals(violations, new LostRequestCheck().judge(history).violations().size());
  }

  /** A fault hits the upstream that began a stream, and the one that could resume it refuses. */
  @ParameterizedTest
  @CsvSource({
    "UPSTREAM_RESET, 5, 45, 47, 200, 1",
    "UPSTREAM_RESET, 5, 45, 52, 200, 0",
    "UPSTREAM_SILENT, 5, 5, 52, 200, 0",
    "UPSTREAM_ONE_WAY, 5, 5, 52, 200, 0",
    "UPSTREAM_LEAVES, 5, -3955, 52, 200, 0",
    "UPSTREAM_RELEASED, 5, -3955, 52, 200, 0",
    "UPSTREAM_LEAVES, 5, 45, 4500, 200, 1",
    "UPSTREAM_RELEASED, 5, 45, 4500, 200, 1",
    "UPSTREAM_DELAYED, 5, 45, 52, 200, 1",
    "UPSTREAM_LIMITED, 5, 45, 52, 200, 1",
    "UPSTREAM_SPOILS, 5, 45, 52, 200, 1",
    "UPSTREAMS_SPOIL, -1, 45, 52, 200, 1",
    "UPSTREAM_RESET, 5, 45, 52, 0, 1",
    "UPSTREAM_RESET, 5, 0, 2, 200, 1",
    "UPSTREAM_RESET, 5, 15, 20, 200, 1",
    "UPSTREAM_RESET, 5, 55, 57, 200, 1",
    "UPSTREAM_RESET, 7, 45, 52, 200, 1"
  })
  void streamThatADisturbedUpstreamBeganAndAnotherRefusesIsNotLost(
      FaultKind kind, int target, long fromMillis, long untilMillis, int status, int violations) {
    History history = new History();
    history.add(call(CallKind.RESUME, Call.Ending.BROKEN, status, "", 100));
    history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
    history.add(new Run(ID, CallKind.RESUME, UPSTREAM, nanos(10), nanos(50), 10, true, false));
    history.add(new History.Arrival(ID, UPSTREAM + 1, nanos(60)));
    history.add(new FaultPeriod(kind, target, nanos(fromMillis), nanos(untilMillis)));
    assertEquals(violations, new LostRequestCheck().judge(history).violations().size());
  }

  @Test
  void streamThatASoundUpstreamRanLastIsLostAlthoughAnEarlierOneBrokeOff() {
    History history = new History();
    history.add(call(CallKind.RESUME, Call.Ending.BROKEN, 200, "", 100));
    history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
    history.add(new Run(ID, CallKind.RESUME, UPSTREAM, nanos(10), nanos(50), 10, true, true));
    history.add(new History.Arrival(ID, UPSTREAM + 1, nanos(60)));
    history.add(new Run(ID, CallKind.RESUME, UPSTREAM + 1, nanos(60), nanos(70), 10, true, false));
    history.add(new History.Arrival(ID, UPSTREAM + 2, nanos(80)));
    assertEquals(1, new LostRequestCheck().judge(history).violations().size());
  }

  @ParameterizedTest
  @CsvSource({"LEFT", "ANSWERED"})
  void requestWhoseCallerLeftOrGotAnAnswerIsNotLost(Call.Ending ending) {
    History history = new History();
    history.add(call(CallKind.SAFE, ending, 502, "", 100));
    history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
    assertTrue(new LostRequestCheck().judge(history).violations().isEmpty());
  }

  /** A request that its upstream never read may be sent again by its caller. */
  @Test
  void requestThatCrossesTheCloseIsNotLost() {
    History history = new History();
    history.add(call(CallKind.SAFE, Call.Ending.BROKEN, 0, "", 100));
    Verdict verdict = new LostRequestCheck().judge(history);
    assertEquals(0, verdict.judged());
  }

  /** The time of a pipelined request begins when the one before it has ended. */
  @ParameterizedTest
  @CsvSource({"40000, 0", "40001, 1"})
  void pipelinedRequestHasItsOwnTimeout(int port, int violations) {
    History history = new History();
    history.add(call(CallKind.SAFE, Call.Ending.ANSWERED, 200, ExpectedResponse.body(ID), 1_000));
    history.add(
        new Call(
            new RequestId("c1-2"),
            CallKind.SAFE,
            ROUTER,
            port,
            1,
            nanos(4_000),
            Call.Ending.LEFT,
            0,
            "",
            4_000));
    assertEquals(violations, new RequestTimeoutCheck().judge(history).violations().size());
  }

  /** The caller's end reaches the router at 100 ms; an earlier close on the port is another's. */
  @ParameterizedTest
  @CsvSource({
    "40001, 640, the upstream's link saw the router's close at 540 ms and forwarded it at 545 ms",
    "40002, 640, the upstream's link saw no close",
    "40001, 19, the upstream's link saw no close"
  })
  void workThatGoesOnIsReportedWithTheStepsToItsEnd(int port, long seenMillis, String reported) {
    History history = new History();
    history.add(call(CallKind.SAFE, Call.Ending.LEFT, 0, "", 90));
    history.add(new History.Disconnect(ROUTER, PORT, nanos(100)));
    history.add(
        new Run(ID, CallKind.SAFE, UPSTREAM, 40_001, nanos(30), nanos(650), 10, true, false));
    history.add(
        new History.UpstreamClose(UPSTREAM, port, nanos(seenMillis), nanos(seenMillis + 5)));
    List<String> violations = new DisconnectCheck().judge(history).violations();
    assertEquals(1, violations.size());
    assertTrue(
        violations.get(0).contains("its run began at -70 ms, its caller closed at -10 ms"),
        violations.get(0));
    assertTrue(violations.get(0).endsWith(reported), violations.get(0));
  }
}
