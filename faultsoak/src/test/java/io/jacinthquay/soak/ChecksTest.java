package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Each check reports a violation of its guarantee, and nothing for a correct history. */
final class ChecksTest {
  private static final RequestId ID = new RequestId("c1-1");
  private static final String COMPLETE_BODY = ExpectedResponse.body(ID);
  private static final String COMPLETE_STREAM =
      StreamTexts.eventsUpTo(ID, ExpectedResponse.eventCount(ID));
  private static final int ROUTER = 2;
  private static final int UPSTREAM = 5;
  private static final int PORT = 40_000;

  private enum BrokenHistory {
    RUN_CONTINUES_AFTER_DISCONNECT(
        new DisconnectCheck(),
        history -> {
          history.add(call(CallKind.SAFE, Call.Ending.LEFT, 0, "", 1_000));
          history.add(run(CallKind.SAFE, 10, 1_600));
        }),
    RUN_STARTS_AFTER_DISCONNECT(
        new DisconnectCheck(),
        history -> {
          history.add(call(CallKind.SAFE, Call.Ending.LEFT, 0, "", 1_000));
          history.add(run(CallKind.SAFE, 1_600, 1_600));
        }),
    NON_IDEMPOTENT_REQUEST_RUNS_TWICE(
        new AtMostOnceCheck(),
        history -> {
          history.add(run(CallKind.ONCE, 10, 20));
          history.add(run(CallKind.ONCE, 30, 40));
        }),
    REJECTED_REQUEST_RUNS_LATER(
        new RejectionCheck(),
        history -> {
          history.add(call(CallKind.ONCE, Call.Ending.ANSWERED, 503, "", 100));
          history.add(run(CallKind.ONCE, 200, 300));
        }),
    TRUNCATED_RESPONSE_LOOKS_COMPLETE(
        new ResponseCheck(),
        history ->
            history.add(
                call(
                    CallKind.SAFE,
                    Call.Ending.ANSWERED,
                    200,
                    COMPLETE_BODY.substring(0, COMPLETE_BODY.length() - 1),
                    100))),
    RESPONSE_OF_ANOTHER_REQUEST(
        new ResponseCheck(),
        history ->
            history.add(
                call(
                    CallKind.SAFE,
                    Call.Ending.ANSWERED,
                    200,
                    ExpectedResponse.body(new RequestId("c1-2")),
                    100))),
    EVENT_IS_MISSING(
        new ResponseCheck(),
        history ->
            history.add(
                call(
                    CallKind.STREAM,
                    Call.Ending.ANSWERED,
                    200,
                    COMPLETE_STREAM.replace(StreamTexts.event(ID, 2), ""),
                    100))),
    EVENT_IS_REPEATED_BEFORE_THE_STREAM_BREAKS(
        new ResponseCheck(),
        history ->
            history.add(
                call(
                    CallKind.RESUME,
                    Call.Ending.BROKEN,
                    200,
                    StreamTexts.event(ID, 1) + StreamTexts.event(ID, 1),
                    100))),
    STATUS_IS_NO_STATUS(
        new ResponseCheck(),
        history -> history.add(call(CallKind.SAFE, Call.Ending.ANSWERED, 600, "", 100))),
    UNEXPECTED_BYTES(new ResponseCheck(), history -> history.addUnexpected("more bytes")),
    DEADLINE_IS_EXTENDED(
        new ForwardedRequestCheck(),
        history -> {
          history.add(call(CallKind.SAFE, Call.Ending.ANSWERED, 200, COMPLETE_BODY, 100));
          history.add(
              new Run(ID, CallKind.SAFE, UPSTREAM, nanos(10), nanos(20), 5_000, true, false));
        }),
    KEY_REACHES_THE_UPSTREAM(
        new ForwardedRequestCheck(),
        history ->
            history.add(
                new Run(ID, CallKind.SAFE, UPSTREAM, nanos(10), nanos(20), 10, false, false))),
    REQUEST_INTERRUPTED_BY_A_PLANNED_STOP(
        new PlannedStopCheck(),
        history -> {
          history.add(call(CallKind.ONCE, Call.Ending.BROKEN, 0, "", 100));
          history.add(run(CallKind.ONCE, 10, 100));
          history.add(new FaultPeriod(FaultKind.ROUTER_STOPPED, ROUTER, nanos(50), nanos(200)));
        }),
    CONNECTION_IS_CLOSED_ON_A_REQUEST_THAT_WAS_PASSED_ON(
        new LostRequestCheck(),
        history -> {
          history.add(call(CallKind.ONCE, Call.Ending.BROKEN, 0, "", 100));
          history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
        }),
    ANSWER_OF_A_SOUND_UPSTREAM_IS_CUT_OFF(
        new LostRequestCheck(),
        history -> {
          history.add(call(CallKind.SAFE, Call.Ending.BROKEN, 200, "answer", 100));
          history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
          history.add(run(CallKind.SAFE, 10, 90));
        }),
    CONNECTION_IS_CLOSED_AT_THE_TIMEOUT_WITHOUT_AN_ANSWER(
        new LostRequestCheck(),
        history -> {
          history.add(call(CallKind.ONCE, Call.Ending.BROKEN, 0, "", 3_000));
          history.add(new History.Arrival(ID, UPSTREAM, nanos(10)));
        }),
    REQUEST_IS_UNANSWERED_AFTER_ITS_TIMEOUT(
        new RequestTimeoutCheck(),
        history -> history.add(call(CallKind.SAFE, Call.Ending.LEFT, 0, "", 3_501))),
    ANSWER_COMES_LONG_AFTER_THE_TIMEOUT(
        new RequestTimeoutCheck(),
        history ->
            history.add(call(CallKind.STREAM, Call.Ending.ANSWERED, 200, COMPLETE_STREAM, 3_501))),
    PROCESS_ENDS_BY_ITSELF(
        new OwnEndCheck(false), history -> history.add(ownEnd(FaultKind.Where.CONTROL, ROUTER))),
    PROCESS_ENDS_IN_A_DISTURBANCE(
        new OwnEndCheck(true),
        history -> {
          history.add(ownEnd(FaultKind.Where.CONTROL, ROUTER));
          history.add(
              new FaultPeriod(FaultKind.CONTROL_DISK_FULL, ROUTER, nanos(900), nanos(1_500)));
        }),
    OLDER_DOCUMENT_IS_READ(
        new DocumentCheck(),
        history -> {
          history.add(new History.Acknowledged(nanos(1_000), 7));
          history.add(new History.Read(nanos(3_001), 6));
        }),
    RUN_FOLLOWS_AN_OUTDATED_DOCUMENT(
        new RoutingCheck(),
        history -> {
          addDocuments(history, 2, 4);
          history.add(call(CallKind.SAFE, Call.Ending.ANSWERED, 200, COMPLETE_BODY, 100));
          history.add(run(CallKind.SAFE, 10, 90));
        }),
    WITHDRAWN_KEY_IS_ACCEPTED(
        new RoutingCheck(),
        history -> {
          addDocuments(history, 2, 6);
          addRequest(history, Documents.Customer.COMES_AND_GOES, 200, true);
        }),
    UNKNOWN_KEY_IS_ACCEPTED(
        new RoutingCheck(),
        history -> {
          addDocuments(history, 2);
          history.add(new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER, 0, nanos(50)));
          addRequest(history, Documents.Customer.UNKNOWN, 200, true);
        }),
    KNOWN_KEY_IS_DENIED(
        new RoutingCheck(),
        history -> {
          addDocuments(history, 2);
          addRequest(history, Documents.Customer.STAYS, 401, false);
        }),
    REQUEST_REACHES_AN_EVACUATED_DOMAIN(
        new EvacuationCheck(),
        history -> {
          history.add(new History.Evacuation(nanos(-5_001), Deployment.domain(UPSTREAM), true));
          addRequest(history, Documents.Customer.STAYS, 200, true);
        }),
    FENCING_TOKEN_DECREASES(
        new DutyCheck(),
        history -> {
          history.add(new History.Duty("scaling s a", "control-0", 3, "4"));
          history.add(new History.Duty("scaling s a", "control-1", 2, "5"));
        }),
    TWO_HOLDERS_OF_ONE_FENCING_TOKEN(
        new DutyCheck(),
        history -> {
          history.add(new History.Duty("usage 7", "control-0", 3, "{}"));
          history.add(new History.Duty("usage 8", "control-1", 3, "{}"));
        }),
    USAGE_WINDOW_WITH_TWO_COUNTS(
        new DutyCheck(),
        history -> {
          history.add(new History.Duty("usage 7", "control-0", 3, "{\"a\":1}"));
          history.add(new History.Duty("usage 7", "control-0", 3, "{\"a\":2}"));
        }),
    RETRY_BUDGET_IS_EXCEEDED(
        new RetryBudgetCheck(),
        history -> {
          addRequest(history, Documents.Customer.STAYS, 200, true);
          addArrivals(history, Deployment.RETRY_EXTRA + 2, 0, 9_999);
        });

    private final Check check;
    private final Consumer<History> events;

    BrokenHistory(Check check, Consumer<History> events) {
      this.check = check;
      this.events = events;
    }
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Adds acknowledged versions of the document, one second apart and before all requests. */
  private static void addDocuments(History history, long... versions) {
    for (int i = 0; i < versions.length; i++) {
      long at = nanos(1_000L * i - 9_000);
      history.add(new History.Proposed(at, versions[i]));
      history.add(new History.Acknowledged(at, versions[i]));
    }
  }

  /** Adds arrivals of one request, spread evenly from one time to another, inclusively. */
  private static void addArrivals(History history, int count, long fromMillis, long untilMillis) {
    for (int i = 0; i < count; i++) {
      long at = nanos(fromMillis + i * (untilMillis - fromMillis) / Math.max(1, count - 1));
      history.add(new History.Arrival(ID, UPSTREAM, at));
    }
  }

  /** Adds an answered request of a customer and, if it ran, its run. */
  private static void addRequest(
      History history, Documents.Customer customer, int status, boolean ran) {
    RequestId id =
        IntStream.iterate(1, i -> i + 1)
            .mapToObj(i -> new RequestId("c2-" + i))
            .filter(candidate -> Documents.Customer.of(candidate) == customer)
            .findFirst()
            .orElseThrow();
    history.add(
        new Call(
            id,
            CallKind.SAFE,
            ROUTER,
            PORT,
            0,
            nanos(100),
            Call.Ending.ANSWERED,
            status,
            ExpectedResponse.body(id),
            2_000));
    if (ran) {
      history.add(new Run(id, CallKind.SAFE, UPSTREAM, nanos(10), nanos(90), 1_900, true, false));
    }
  }

  private static History.OwnEnd ownEnd(FaultKind.Where where, int number) {
    return new History.OwnEnd(where, number, 1, nanos(1_000), List.of("the last line"));
  }

  private static Call call(
      CallKind kind, Call.Ending ending, int status, String body, long endMillis) {
    return new Call(ID, kind, ROUTER, PORT, 0, nanos(endMillis), ending, status, body, 2_000);
  }

  private static Run run(CallKind kind, long fromMillis, long untilMillis) {
    return new Run(ID, kind, UPSTREAM, nanos(fromMillis), nanos(untilMillis), 1_900, true, false);
  }

  @ParameterizedTest
  @MethodSource("brokenHistories")
  void violationIsReported(BrokenHistory brokenHistory) {
    History history = new History();
    brokenHistory.events.accept(history);
    assertEquals(1, brokenHistory.check.judge(history).violations().size());
  }

  static Stream<BrokenHistory> brokenHistories() {
    return Stream.of(BrokenHistory.values());
  }

  private static History correctHistory() {
    History history = new History();
    addDocuments(history, 2);
    history.add(call(CallKind.SAFE, Call.Ending.ANSWERED, 200, COMPLETE_BODY, 100));
    history.add(run(CallKind.SAFE, 10, 90));
    // Not yet binding; ended before the request; of another failure domain.
    history.add(new History.Evacuation(nanos(-4_900), Deployment.domain(UPSTREAM), true));
    history.add(new History.Evacuation(nanos(-9_000), Deployment.domain(UPSTREAM), true));
    history.add(new History.Evacuation(nanos(-6_000), Deployment.domain(UPSTREAM), false));
    history.add(new History.Evacuation(nanos(-9_000), Deployment.domain(UPSTREAM + 1), true));
    addRequest(history, Documents.Customer.COMES_AND_GOES, 200, true);
    addRequest(history, Documents.Customer.UNKNOWN, 401, false);
    history.add(new FaultPeriod(FaultKind.ROUTER_STOPPED, ROUTER, nanos(50), nanos(200)));
    history.add(new History.Acknowledged(nanos(1_000), 7));
    history.add(new History.Read(nanos(2_999), 6));
    history.add(new History.Read(nanos(3_001), 7));
    history.add(new History.Duty("usage 7", "control-0", 3, "{\"a\":1}"));
    history.add(new History.Duty("usage 7", "control-0", 3, "{\"a\":1}"));
    history.add(new History.Duty("usage 8", "control-1", 4, "{\"a\":2}"));
    // The first arrival, the extra of one window, and that of the next one.
    addArrivals(history, Deployment.RETRY_EXTRA + 1, 0, 5_000);
    addArrivals(history, Deployment.RETRY_EXTRA, 15_001, 20_000);
    return history;
  }

  @ParameterizedTest
  @MethodSource("brokenHistories")
  void correctHistoryHasNoViolation(BrokenHistory brokenHistory) {
    Verdict verdict = brokenHistory.check.judge(correctHistory());
    assertTrue(verdict.violations().isEmpty(), verdict.violations().toString());
  }

  /** Requests of the window before raise the budget; those of two windows before don't. */
  @ParameterizedTest
  @CsvSource({"-9999, 0", "-10100, 1"})
  void requestsOfTheWindowBeforeRaiseTheRetryBudget(long sentMillis, int violations) {
    History history = new History();
    for (int i = 0; i < 5; i++) {
      RequestId id = new RequestId("c3-" + i);
      history.add(
          new Call(
              id,
              CallKind.SAFE,
              ROUTER,
              PORT,
              nanos(sentMillis),
              nanos(sentMillis + 10),
              Call.Ending.ANSWERED,
              200,
              "",
              2_000));
      history.add(new History.Arrival(id, UPSTREAM, nanos(sentMillis)));
    }
    addArrivals(history, Deployment.RETRY_EXTRA + 2, 0, 100);
    assertEquals(violations, new RetryBudgetCheck().judge(history).violations().size());
  }

  /**
   * Arrivals of one request at the times of a window, and five requests for which one more arrival
   * is allowed. The window may begin at any time, also at one at which nothing happens.
   */
  @ParameterizedTest
  @CsvSource({
    // In the window itself, in the one half a window before, and in the one before.
    "9999, 0, 9999, 0",
    "-5000, 0, 9999, 0",
    "-10000, 0, 9999, 0",
    // One millisecond too early for each window that has all arrivals.
    "-10001, 0, 9999, 1",
    "-1, 0, 999, 0",
    // Too late for a window that has all arrivals and begins and ends while nothing happens.
    "2000, 0, 999, 1",
    // Ten seconds from the first arrival to the last are more than one window.
    "30000, 0, 10000, 0"
  })
  void anyWindowMayExceedTheRetryBudget(
      long requestsMillis, long firstMillis, long lastMillis, int violations) {
    History history = new History();
    for (int i = 0; i < 5; i++) {
      RequestId id = new RequestId("c3-" + i);
      history.add(
          new Call(
              id,
              CallKind.SAFE,
              ROUTER,
              PORT,
              nanos(requestsMillis),
              nanos(requestsMillis + 10),
              Call.Ending.ANSWERED,
              200,
              "",
              2_000));
      history.add(new History.Arrival(id, UPSTREAM, nanos(requestsMillis)));
    }
    // The first arrival of the request precedes all windows, so that each one counts as repeated.
    history.add(new History.Arrival(ID, UPSTREAM, nanos(-60_000)));
    addArrivals(history, Deployment.RETRY_EXTRA + 1, firstMillis, lastMillis);
    assertEquals(violations, new RetryBudgetCheck().judge(history).violations().size());
  }

  /** Parts in percent of three routers, and when the third one had its part. */
  @ParameterizedTest
  @CsvSource({"50, 50, 20000, 0", "33, 33, 5000, 0", "50, 50, 5000, 1", "50, 18, 10000, 1"})
  void partsOfTheExtraRetriesAreSummedOverAWindow(
      long first, long second, long thirdMillis, int violations) {
    History history = new History();
    history.add(new History.RetryShare(0, first, 0));
    history.add(new History.RetryShare(1, second, nanos(100)));
    history.add(new History.RetryShare(2, 34, nanos(thirdMillis)));
    assertEquals(violations, new RetryShareCheck().judge(history).violations().size());
  }

  /** The request has 2,000 ms from its begin on, and so has its first send at 10 ms. */
  @ParameterizedTest
  @CsvSource({"510, 2000, 0", "600, 1400, 0", "600, 1910, 0", "600, 1911, 1", "1200, 2000, 1"})
  void repeatedRequestGetsTheTimeThatIsLeft(long againMillis, long waitMillis, int violations) {
    History history = new History();
    history.add(call(CallKind.SAFE, Call.Ending.ANSWERED, 200, COMPLETE_BODY, 1_900));
    history.add(runWithDeadline(10, 2_000));
    history.add(runWithDeadline(againMillis, waitMillis));
    assertEquals(violations, new RepeatedDeadlineCheck().judge(history).violations().size());
  }

  private static Run runWithDeadline(long beganMillis, long waitMillis) {
    return new Run(
        ID,
        CallKind.SAFE,
        UPSTREAM,
        nanos(beganMillis),
        nanos(beganMillis + 5),
        waitMillis,
        true,
        false);
  }

  static Stream<FaultPeriod> explainingPeriods() {
    return Stream.of(
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER, nanos(900), nanos(1_700)),
        new FaultPeriod(FaultKind.ROUTER_KILLED, ROUTER, nanos(-4_000), nanos(-2_000)),
        new FaultPeriod(FaultKind.ROUTER_STOPPED, ROUTER, nanos(-4_000), nanos(-2_000)),
        new FaultPeriod(FaultKind.UPSTREAM_SILENT, UPSTREAM, nanos(100), nanos(600)),
        new FaultPeriod(FaultKind.OBSERVER_STALLED, -1, nanos(1_200), nanos(1_400)));
  }

  /** The caller disconnects at 1.0 s, and work for its request ends at 1.6 s. */
  @ParameterizedTest
  @CsvSource({
    "2, 40000, 1100, 0",
    "2, 40000, 1099, 1",
    "2, 40000, 999, 1",
    "3, 40000, 1500, 1",
    "2, 40001, 1500, 1"
  })
  void limitStartsWhenTheRouterCouldNoticeTheDisconnect(
      int router, int port, long forwardedMillis, int violations) {
    History history = new History();
    BrokenHistory.RUN_CONTINUES_AFTER_DISCONNECT.events.accept(history);
    history.add(new History.Disconnect(router, port, nanos(forwardedMillis)));
    assertEquals(violations, new DisconnectCheck().judge(history).violations().size());
  }

  static Stream<FaultPeriod> unrelatedPeriods() {
    return Stream.of(
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER + 1, nanos(900), nanos(1_700)),
        new FaultPeriod(FaultKind.ROUTER_PAUSED, ROUTER, nanos(-1_000), nanos(400)),
        new FaultPeriod(FaultKind.ROUTER_KILLED, ROUTER, nanos(-4_000), nanos(-2_001)),
        new FaultPeriod(FaultKind.ROUTER_KILLED, ROUTER + 1, nanos(900), nanos(1_700)),
        new FaultPeriod(FaultKind.UPSTREAM_SILENT, UPSTREAM, nanos(100), nanos(400)),
        new FaultPeriod(FaultKind.CONTROL_KILLED, ROUTER, nanos(900), nanos(1_700)));
  }

  @ParameterizedTest
  @CsvSource({"100, true, 0", "2999, false, 1", "3000, false, 0"})
  void responseThatHadToEndIsNotBlamedOnAStop(long endMillis, boolean truncated, int violations) {
    History history = new History();
    history.add(
        call(CallKind.STREAM, Call.Ending.BROKEN, 200, StreamTexts.event(ID, 1), endMillis));
    history.add(new Run(ID, CallKind.STREAM, UPSTREAM, nanos(10), nanos(90), 10, true, truncated));
    history.add(new FaultPeriod(FaultKind.ROUTER_STOPPED, ROUTER, nanos(50), nanos(200)));
    Verdict verdict = new PlannedStopCheck().judge(history);
    assertEquals(violations, verdict.violations().size());
    assertEquals(1 - violations, verdict.notJudged());
  }

  private static Verdict judgeWith(FaultPeriod period) {
    History history = new History();
    BrokenHistory.RUN_CONTINUES_AFTER_DISCONNECT.events.accept(history);
    history.add(period);
    return new DisconnectCheck().judge(history);
  }

  @ParameterizedTest
  @MethodSource("explainingPeriods")
  void violationThatAFaultMayExplainIsNotJudged(FaultPeriod period) {
    Verdict verdict = judgeWith(period);
    assertTrue(verdict.violations().isEmpty());
    assertEquals(1, verdict.notJudged());
  }

  @ParameterizedTest
  @MethodSource("unrelatedPeriods")
  void unrelatedFaultDoesNotExplainAViolation(FaultPeriod period) {
    assertFalse(judgeWith(period).violations().isEmpty());
  }
}
