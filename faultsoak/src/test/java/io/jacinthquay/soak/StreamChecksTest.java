package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Streams over the attempts of their callers: order, one version, and take-ups that go on. */
final class StreamChecksTest {
  private static final RequestId STREAM = new RequestId("c1-1");
  private static final int LAST = ExpectedResponse.eventCount(STREAM);
  private static final int ROUTER = 2;
  private static final int PORT = 40_000;
  private static final int WAIT_MILLIS = 5_000;

  private final History history = new History();

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void addFirst(CallKind kind, Call.Ending ending, String body) {
    history.add(
        new Call(STREAM, kind, ROUTER, PORT, 0, nanos(100), ending, 200, body, WAIT_MILLIS));
  }

  private static Call takeUp(
      RequestId stream,
      int after,
      TakeUp.Named named,
      Call.Ending ending,
      int status,
      String body) {
    return new Call(
        new RequestId(stream.value() + "-t1"),
        CallKind.RESUME,
        ROUTER + 1,
        PORT,
        nanos(1_000),
        nanos(1_100),
        ending,
        status,
        body,
        WAIT_MILLIS - 1_000,
        Optional.of(new TakeUp(stream, after, named)));
  }

  private int orderViolations() {
    return new OrderCheck().judge(history).violations().size();
  }

  private static String events(int first, int last, String service, String version) {
    return StreamTexts.events(STREAM, first, last, service, version);
  }

  /** The first attempt brings two events of version v1, the second one the others. */
  @ParameterizedTest
  @CsvSource({
    "3, service-0, v1, FIRST_EVENT, 0",
    "3, service-0, v2, FIRST_EVENT, 1",
    "3, service-0, v2, NOTHING, 1",
    "3, service-0, v2, OTHER_CUSTOMER, 1",
    // Versions belong to a service.
    "3, service-1, v2, FIRST_EVENT, 0",
    "2, service-0, v1, FIRST_EVENT, 1",
    "4, service-0, v1, FIRST_EVENT, 1"
  })
  void attemptsAtAStreamAreJudgedTogether(
      int first, String service, String version, TakeUp.Named named, int violations) {
    addFirst(CallKind.RESUME, Call.Ending.BROKEN, events(1, 2, "service-0", "v1"));
    history.add(
        takeUp(STREAM, 2, named, Call.Ending.ANSWERED, 200, events(first, LAST, service, version)));
    assertEquals(violations, orderViolations());
  }

  @ParameterizedTest
  @CsvSource({"RESUME, v1, 0", "RESUME, v2, 1", "STREAM, v1, 1"})
  void answerIsJoinedFromTwoRuns(CallKind kind, String version, int violations) {
    addFirst(
        kind,
        Call.Ending.ANSWERED,
        events(1, 2, "service-0", "v1") + events(3, LAST, "service-0", version));
    assertEquals(violations, orderViolations());
  }

  @ParameterizedTest
  @CsvSource({"ANSWERED, 0, 0", "ANSWERED, 1, 1", "BROKEN, 1, 0"})
  void streamIsCompleteOnlyWithItsLastEvent(Call.Ending ending, int missing, int violations) {
    addFirst(CallKind.RESUME, ending, events(1, LAST - missing, "service-0", "v1"));
    assertEquals(violations, orderViolations());
  }

  /** All events have arrived, and a further attempt brings only the end. */
  @Test
  void attemptThatBringsOnlyTheEndIsWhole() {
    addFirst(CallKind.RESUME, Call.Ending.BROKEN, events(1, LAST, "service-0", "v1"));
    history.add(takeUp(STREAM, LAST, TakeUp.Named.FIRST_EVENT, Call.Ending.ANSWERED, 200, ""));
    assertEquals(0, orderViolations());
    assertEquals(0, new ResponseCheck().judge(history).violations().size());
  }

  /** Lists upstreams 0 to 2, which are of one service; the third has the given version. */
  private void listUpstreams(String thirdVersion) {
    for (int upstream = 0; upstream < 3; upstream++) {
      String version = upstream == 0 ? "v1" : upstream == 1 ? "v2" : thirdVersion;
      history.add(new History.Listed(upstream, true, nanos(-60_000), version));
    }
    // Version 2 of the document routes streams to the first service.
    history.add(new History.Proposed(nanos(-60_000), 2));
    history.add(new History.Acknowledged(nanos(-59_000), 2));
  }

  /** Returns ids of streams whose customer is in each document, as its further attempts are. */
  private static Stream<RequestId> streams() {
    return IntStream.iterate(1, i -> i + 1)
        .mapToObj(i -> new RequestId("c2-" + i))
        .filter(id -> isKnown(id) && isKnown(new RequestId(id.value() + "-t1")));
  }

  private static boolean isKnown(RequestId id) {
    return Documents.Customer.of(id) == Documents.Customer.STAYS;
  }

  private void addStream(RequestId id, long sentMillis) {
    history.add(
        new Call(
            id,
            CallKind.RESUME,
            ROUTER,
            PORT,
            nanos(sentMillis),
            nanos(sentMillis + 100),
            Call.Ending.BROKEN,
            200,
            StreamTexts.eventsUpTo(id, 2),
            WAIT_MILLIS));
  }

  /** Adds streams of version v1 that break off after two events and are taken up 1 s later. */
  private void addTakenUpStreams(int count, int goneOn, TakeUp.Named named) {
    List<RequestId> ids = streams().limit(count).toList();
    for (int i = 0; i < count; i++) {
      RequestId id = ids.get(i);
      addStream(id, 0);
      history.add(
          i < goneOn
              ? takeUp(id, 2, named, Call.Ending.BROKEN, 200, StreamTexts.event(id, 3))
              : takeUp(id, 2, named, Call.Ending.ANSWERED, 503, ""));
    }
  }

  @ParameterizedTest
  @CsvSource({
    // All new streams begin, so that half of the take-ups have to go on.
    "12, 6, FIRST_EVENT, v1, 1, 0",
    "12, 5, FIRST_EVENT, v1, 1, 1",
    "11, 0, FIRST_EVENT, v1, 0, 0",
    // One upstream of the version is not enough.
    "12, 0, FIRST_EVENT, v2, 0, 0",
    "12, 0, NOTHING, v1, 0, 0",
    "12, 0, UNKNOWN, v1, 0, 0"
  })
  void enoughTakeUpsGoOn(
      int count, int goneOn, TakeUp.Named named, String third, int judged, int violations) {
    listUpstreams(third);
    addTakenUpStreams(count, goneOn, named);
    Verdict verdict = new TakeUpCheck().judge(history);
    assertEquals(judged, verdict.judged(), verdict.remarks().toString());
    assertEquals(violations, verdict.violations().size());
  }

  /** Faults of routers, control VMs and upstreams in the 3 s before a take-up, or beside it. */
  @ParameterizedTest
  @CsvSource({
    "ROUTERS_KILLED, -1, -1500, 0",
    "ROUTERS_KILLED, -1, -2200, 1",
    "ROUTER_KILLED, 3, -1500, 0",
    "ROUTER_KILLED, 2, -1500, 1",
    "CALLERS_RESET, 3, -1500, 1",
    "CONTROL_KILLED, 0, 500, 0",
    "UPSTREAM_SILENT, 2, 500, 0",
    "UPSTREAM_SILENT, 1, 500, 1"
  })
  void takeUpBesideAFaultIsNotJudged(FaultKind kind, int target, long atMillis, int judged) {
    listUpstreams("v1");
    addTakenUpStreams(12, 0, TakeUp.Named.FIRST_EVENT);
    addStream(streams().skip(12).findFirst().orElseThrow(), 9_000);
    history.add(new FaultPeriod(kind, target, nanos(atMillis), nanos(atMillis + 100)));
    assertEquals(judged, new TakeUpCheck().judge(history).judged());
  }

  /** The domain of an upstream of the version is out, or has been until a moment ago. */
  @ParameterizedTest
  @CsvSource({"2, -9000, 2000, 0", "2, -9000, -1900, 0", "2, -9000, -2100, 1", "1, -9000, 2000, 1"})
  void takeUpIsNotJudgedWhileADomainIsOut(
      int upstream, long outMillis, long backMillis, int judged) {
    listUpstreams("v1");
    addTakenUpStreams(12, 6, TakeUp.Named.FIRST_EVENT);
    String domain = Deployment.domain(upstream);
    history.add(new History.DomainChange(nanos(outMillis), domain, true));
    history.add(new History.DomainChange(nanos(backMillis), domain, false));
    assertEquals(judged, new TakeUpCheck().judge(history).judged());
  }

  @ParameterizedTest
  @CsvSource({"v1, 0", "' ', 1"})
  void truncatedEventHasToBeTheNextOne(String version, int violations) {
    String next = events(3, 3, "service-0", version);
    addFirst(
        CallKind.RESUME,
        Call.Ending.BROKEN,
        events(1, 2, "service-0", "v1") + next.substring(0, next.length() - 1));
    assertEquals(violations, new ResponseCheck().judge(history).violations().size());
  }
}
