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
import org.HdrHistogram.Recorder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Callers, upstreams and checks together find a router that breaks one promise, and only that. */
final class PlantedRouterTest {
  private static final int CALLERS = 12;
  private static final int ENOUGH_CALLS = 400;
  private static final long MOST_SECONDS = 60;
  private static final long LOOK_MILLIS = 100;

  private static final List<Check> CHECKS =
      List.of(
          new RunsEndCheck(),
          new AtMostOnceCheck(),
          new RefusalsCheck(),
          new AnswersCheck(),
          new HandOverCheck(),
          new RoutingCheck());

  private final History history = new History();

  /** Sends requests until nothing more is wanted or the time is over. */
  private void play(PlantedRouter.Flaw flaw, BooleanSupplier enough) throws Exception {
    AtomicBoolean goesOn = new AtomicBoolean(true);
    history.add(new History.Proposed(System.nanoTime(), 1));
    ExecutorService threads = Executors.newCachedThreadPool();
    try (StandInUpstream upstream = new StandInUpstream(0, 1, history);
        PlantedRouter router = new PlantedRouter(flaw, upstream.address())) {
      threads.execute(new StallWatch(history, goesOn::get));
      for (int i = 0; i < CALLERS; i++) {
        threads.execute(
            new CallerLoop(
                i,
                List.of(router.address()),
                history,
                new SplittableRandom(i),
                goesOn::get,
                new Recorder(2)));
      }
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_SECONDS);
      while (!enough.getAsBoolean() && System.nanoTime() - end < 0) {
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
      }
      goesOn.set(false);
      threads.shutdown();
      assertTrue(threads.awaitTermination(MOST_SECONDS, TimeUnit.SECONDS));
    }
  }

  private static List<String> broken(History history) {
    return CHECKS.stream()
        .filter(check -> !check.judge(history).faults().isEmpty())
        .map(Check::promise)
        .toList();
  }

  @ParameterizedTest
  @CsvSource({
    "RUNS_ON, no work for callers that have left",
    "SENDS_TWICE, no request runs more often than it may",
    "REFUSES_WHAT_RAN, what was refused never runs",
    "ENDS_WHAT_BROKE_OFF, each success is the whole answer to its own request",
    "ANSWERS_ANOTHER, each success is the whole answer to its own request",
    "PASSES_THE_KEY, 'upstreams get the request as it is, its customer, no key and no more time'",
    "GIVES_MORE_TIME, 'upstreams get the request as it is, its customer, no key and no more time'",
    "TAKES_ANY_KEY, routers follow the document in force"
  })
  void flawIsFound(PlantedRouter.Flaw flaw, String promise) throws Exception {
    play(flaw, () -> !broken(history).isEmpty());
    List<String> broken = broken(history);
    assertEquals(1, broken.size(), broken.toString());
    assertTrue(broken.get(0).startsWith(promise), broken.toString());
  }

  @Test
  void soundRouterBreaksNothing() throws Exception {
    play(PlantedRouter.Flaw.NONE, () -> history.calls().size() >= ENOUGH_CALLS);
    CHECKS.forEach(check -> assertEquals(List.of(), check.judge(history).faults()));
  }
}
