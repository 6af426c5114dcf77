package io.jacinthquay.decision.dispatch;

import static io.jacinthquay.decision.dispatch.TestRequests.ENGINES;
import static io.jacinthquay.decision.dispatch.TestRequests.MILLI;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.learning.EvidenceLog;
import io.jacinthquay.decision.learning.LearnedFigure;
import io.jacinthquay.decision.learning.RateUse;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** Replays a load on 70 routers that share the engines of three failure domains. */
final class RoutersReplay {
  /** What differs between loads. */
  interface Load {
    /** Returns the speed of an engine compared with the fixed rate. */
    default double speed(int engine, long millis) {
      return 1;
    }

    /** Returns the share of requests that an engine fails at once. */
    default double failureShare(int engine, long millis) {
      return 0;
    }

    /** Returns the requests per second that arrive in a failure domain. */
    double requestsPerSecond(int domain, long millis);
  }

  /** Counts of requests; a request that was served in time is in none but {@code all}. */
  static final class Result {
    int all;
    int late;
    int paused;
    int failed;
    int unserved;

    double missedShare() {
      return (double) (late + paused + failed + unserved) / all;
    }

    @Override
    public String toString() {
      return "all "
          + all
          + ", late "
          + late
          + ", paused "
          + paused
          + ", failed "
          + failed
          + ", unserved "
          + unserved;
    }
  }

  static final int DOMAINS = 3;
  static final int ENGINE_COUNT = 36;
  private static final int ROUTERS = 70;
  private static final int EXCHANGE_MILLIS = 300;
  private static final int SUM_MILLIS = 100;
  private static final int STREAM_MILLIS = 600;
  private static final int CHAT_GAP_MILLIS = 150;
  private static final int CHAT_TARGET_MILLIS = 300;
  private static final int PROMPT_TARGET_MILLIS = 1_000;
  private static final double TOKENS_PER_MILLI = 38;

  /** Time for one token beside a prefill at a speed of 1, in milliseconds. */
  private static final double TOKEN_MILLIS = 27;

  private static final int TOKENS_PER_EVENT = 6;

  private record Task(int router, SentRequest sending, long sentMillis, double speed, long due) {
    boolean isLong() {
      return sending.work().promptTokens() > PrefillPause.MAX_SHORT_PROMPT_TOKENS;
    }
  }

  /** An engine that reads its prompts in order of arrival. */
  private static final class Engine {
    private final Deque<Task> running = new ArrayDeque<>();
    private final Deque<Task> waiting = new ArrayDeque<>();
    private long freeAt;
    private long readLongAt = -1;
  }

  private final Load load;
  private final SplittableRandom random = new SplittableRandom(7);
  private final List<UpstreamSelector> selectors = new ArrayList<>();
  private final Map<UpstreamId, Engine> engines = new HashMap<>();
  private final List<Map<UpstreamId, UpstreamLoad>> loads = new ArrayList<>();
  private final List<RouterSignals> signals = new ArrayList<>();
  private final Result result = new Result();
  private RouterSignals sum = RouterSignals.NONE;
  private List<RouterSignals> summed = List.of();

  RoutersReplay(Load load, boolean learns) {
    this.load = load;
    List<UpstreamListing> listings = new ArrayList<>();
    for (int i = 0; i < ENGINE_COUNT; i++) {
      listings.add(TestRequests.listing("u" + i, ENGINES, domain(i), 0));
      engines.put(new UpstreamId("u" + i), new Engine());
    }
    for (int i = 0; i < ROUTERS; i++) {
      UpstreamSelector selector =
          new UpstreamSelector(
              domain(i), 1.5, 5, new SplittableRandom(i), learns ? RateUse.PLACE : RateUse.NONE);
      selector.setPools(Map.of(ENGINES, TestRequests.engines(0)));
      selector.setListings(listings, 0);
      selector.setRouterCount(ROUTERS);
      selectors.add(selector);
      loads.add(Map.of());
      signals.add(RouterSignals.NONE);
    }
  }

  private static DomainId domain(int number) {
    return new DomainId("d" + number % DOMAINS);
  }

  private static int number(UpstreamState state) {
    return Integer.parseInt(state.listing().upstream().value().substring(1));
  }

  /** Returns what became of the requests of some seconds. */
  Result run(int seconds) {
    for (long millis = 0; millis < seconds * 1_000L; millis++) {
      advanceEngines(millis);
      if (millis % SUM_MILLIS == 0) {
        sum = signals.stream().reduce(RouterSignals.NONE, RouterSignals::plus);
        summed = List.copyOf(signals);
      }
      for (int router = 0; router < ROUTERS; router++) {
        if ((millis + router * 3L) % EXCHANGE_MILLIS == 0) {
          exchange(router, millis);
        }
      }
      for (int domain = 0; domain < DOMAINS; domain++) {
        if (random.nextDouble() < load.requestsPerSecond(domain, millis) / 1_000) {
          request(domain + DOMAINS * random.nextInt(ROUTERS / DOMAINS), millis);
        }
      }
    }
    return result;
  }

  private void exchange(int router, long millis) {
    UpstreamSelector selector = selectors.get(router);
    Map<UpstreamId, UpstreamLoad> own = new HashMap<>();
    selector.states().forEach(s -> own.put(s.listing().upstream(), s.own()));
    loads.set(router, own);
    Map<UpstreamId, UpstreamLoad> others = new HashMap<>();
    for (int i = 0; i < ROUTERS; i++) {
      if (i != router) {
        loads.get(i).forEach((id, known) -> others.merge(id, known, UpstreamLoad::plus));
      }
    }
    selector.setRemoteLoads(others);
    selector.setRemoteSignals(sum.minus(summed.get(router)), millis * MILLI);
    selector
        .estimator()
        .ifPresent(
            e -> {
              Map<UpstreamId, UpstreamEvidence> reported = e.own().reported(millis * MILLI);
              signals.set(router, new RouterSignals(reported, Map.of(), Map.of()));
            });
  }

  private void request(int router, long millis) {
    boolean chat = random.nextDouble() < 0.5;
    int tokens = chat ? 1_460 : 4_000 + random.nextInt(8_000);
    PoolRequest work =
        TestRequests.prompt(
            chat ? 0 : 1, chat ? CHAT_GAP_MILLIS : 1_000, random.nextLong(), 10, tokens - 10);
    long now = millis * MILLI;
    result.all++;
    Optional<UpstreamState> chosen = selectors.get(router).choose(work, Set.of(), now);
    if (chosen.isEmpty()) {
      result.unserved++;
      return;
    }
    SentRequest sending = selectors.get(router).sent(chosen.get(), work, now);
    int number = number(chosen.get());
    if (random.nextDouble() < load.failureShare(number, millis)) {
      result.failed++;
      selectors.get(router).recordEnd(sending, false, SendOutcome.FAILED, now);
      log(router).ifPresent(l -> l.recordEnd(chosen.get().listing().upstream(), false, now));
      return;
    }
    Engine engine = engines.get(chosen.get().listing().upstream());
    long start = Math.max(millis, engine.freeAt);
    double speed = load.speed(number, start);
    engine.freeAt = start + Math.round(tokens / TOKENS_PER_MILLI / speed);
    engine.waiting.add(new Task(router, sending, millis, speed, engine.freeAt));
  }

  private Optional<EvidenceLog> log(int router) {
    return selectors.get(router).estimator().map(e -> e.own());
  }

  private void advanceEngines(long millis) {
    for (Engine engine : engines.values()) {
      if (!engine.waiting.isEmpty() && engine.waiting.peek().isLong()) {
        engine.readLongAt = millis;
      }
      while (!engine.waiting.isEmpty() && engine.waiting.peek().due() <= millis) {
        Task task = engine.waiting.poll();
        selectors.get(task.router()).recordPrefill(task.sending(), millis * MILLI);
        log(task.router()).ifPresent(log -> recordSpeed(log, task, millis));
        engine.running.add(task);
      }
      while (!engine.running.isEmpty() && engine.running.peek().due() + STREAM_MILLIS <= millis) {
        end(engine, engine.running.poll(), millis);
      }
    }
  }

  private static void recordSpeed(EvidenceLog log, Task task, long millis) {
    SentRequest sending = task.sending();
    UpstreamId id = sending.upstream().listing().upstream();
    double tokens = sending.upstream().load().promptTokens() + sending.unreadTokens();
    LearnedFigure figure = sending.figure().orElseThrow();
    double rate = figure.promptTokensPerMilli();
    double expected = Math.max(figure.expectedMillis(), tokens / rate);
    long took = millis - task.sentMillis();
    log.recordFirstEvent(id, tokens, Math.max(1, took), rate, millis * MILLI);
    double outputMillis = TOKENS_PER_EVENT * TOKEN_MILLIS / task.speed();
    double expectedOutput = TOKENS_PER_EVENT * figure.millisPerToken();
    log.recordOutput(id, TOKENS_PER_EVENT, outputMillis, expectedOutput, millis * MILLI);
    log.recordEnd(id, took <= 2 * expected + 50, millis * MILLI);
  }

  private void end(Engine engine, Task task, long millis) {
    selectors
        .get(task.router())
        .recordEnd(task.sending(), true, SendOutcome.SUCCEEDED, millis * MILLI);
    int target = task.isLong() ? PROMPT_TARGET_MILLIS : CHAT_TARGET_MILLIS;
    if (task.due() - task.sentMillis() > target) {
      result.late++;
    } else if (!task.isLong()
        && engine.readLongAt >= task.due()
        && TOKENS_PER_EVENT * TOKEN_MILLIS / task.speed() > CHAT_GAP_MILLIS) {
      result.paused++;
    }
  }
}
