package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.HdrHistogram.Recorder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Callers, upstreams and checks together report the one guarantee that a faulty router violates.
 */
final class FaultyRouterTest {
  private static final int CALLERS = 12;
  private static final int ENOUGH_CALLS = 400;
  private static final long TIMEOUT_SECONDS = 60;
  private static final long POLL_MILLIS = 100;

  private static final List<Check> CHECKS =
      List.of(
          new DisconnectCheck(),
          new AtMostOnceCheck(),
          new RejectionCheck(),
          new ResponseCheck(),
          new ForwardedRequestCheck(),
          new RoutingCheck(),
          new LostRequestCheck(),
          new RequestTimeoutCheck());

  private final History history = new History();

  private void sendRequests(FaultyRouter.Defect defect, BooleanSupplier enough) throws Exception {
    sendRequests(defect, enough, upstream -> {});
  }

  /**
   * Sends requests until there are enough observations or the time limit passes, and lets something
   * happen to the upstream meanwhile.
   */
  private void sendRequests(
      FaultyRouter.Defect defect, BooleanSupplier enough, Consumer<FakeUpstream> change)
      throws Exception {
    AtomicBoolean keepRunning = new AtomicBoolean(true);
    history.add(new History.Proposed(System.nanoTime(), 1));
    ExecutorService threads = Executors.newCachedThreadPool();
    try (FakeUpstream upstream =
            new FakeUpstream(0, 1, SoakPlan.DEFAULT_REJECTED_PERCENT, history);
        FaultyRouter router = new FaultyRouter(defect, upstream.address())) {
      threads.execute(new StallDetector(history, keepRunning::get));
      for (int i = 0; i < CALLERS; i++) {
        threads.execute(
            new CallerLoop(
                i,
                List.of(router.address()),
                history,
                new SplittableRandom(i),
                keepRunning::get,
                new Recorder(2)));
      }
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (!enough.getAsBoolean() && System.nanoTime() - end < 0) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        change.accept(upstream);
      }
      keepRunning.set(false);
      threads.shutdown();
      assertTrue(threads.awaitTermination(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  private static List<String> violated(History history) {
    return CHECKS.stream()
        .filter(check -> !check.judge(history).violations().isEmpty())
        .map(Check::guarantee)
        .toList();
  }

  @ParameterizedTest
  @CsvSource({
    "IGNORES_DISCONNECT, no work for callers that have left",
    "SENDS_TWICE, no request runs more often than it may",
    "REJECTS_AFTER_RUN, what was refused never runs",
    "HIDES_TRUNCATION, each success is the whole answer to its own request",
    "MIXES_UP_RESPONSES, each success is the whole answer to its own request",
    "FORWARDS_KEY, 'upstreams get the request as it is, its customer, no key and no more time'",
    "EXTENDS_DEADLINE, 'upstreams get the request as it is, its customer, no key and no more time'",
    "ACCEPTS_UNKNOWN_KEY, routers follow the document in force",
    "LOSES_ANSWERS, no connection is closed on a request that a sound upstream has read",
    "IGNORES_TIMEOUT, requests at their timeout are ended within 500 ms"
  })
  void defectIsReported(FaultyRouter.Defect defect, String guarantee) throws Exception {
    sendRequests(defect, () -> !violated(history).isEmpty());
    List<String> violated = violated(history);
    assertEquals(1, violated.size(), violated.toString());
    assertTrue(violated.get(0).startsWith(guarantee), violated.toString());
  }

  @Test
  void correctRouterViolatesNothing() throws Exception {
    sendRequests(FaultyRouter.Defect.NONE, () -> history.calls().size() >= ENOUGH_CALLS);
    CHECKS.forEach(check -> assertEquals(List.of(), check.judge(history).violations()));
  }

  /** The router has a single upstream and lets each stream go on there, whatever its version. */
  @Test
  void streamsOfTwoVersionsAreReported() throws Exception {
    Check check = new OrderCheck();
    sendRequests(
        FaultyRouter.Defect.NONE,
        () -> !check.judge(history).violations().isEmpty(),
        upstream -> upstream.restart("i-0-new", 1 + upstream.lifetime().release()));
    List<String> violations = check.judge(history).violations();
    assertTrue(violations.get(0).contains("holds events of the versions"), violations.toString());
  }
}
