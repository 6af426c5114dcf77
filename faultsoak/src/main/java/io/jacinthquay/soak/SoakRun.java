package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.HttpHeader;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.HdrHistogram.Recorder;

/**
 * One run of the soak: starts the programs, puts them under load and faults, and judges what was
 * seen.
 *
 * <pre>{@code
 * SoakReport report = new SoakRun(root, folder, plan, progress).run();
 * }</pre>
 */
final class SoakRun {
  /** Processes that start together on a busy machine take this long at most. */
  private static final Duration START = Duration.ofSeconds(90);

  /** From the users' rules: after this time without faults all routers serve again. */
  private static final Duration RECOVERY = Duration.ofSeconds(15);

  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
  private static final long PROBE_PAUSE_MILLIS = 100;
  private static final int FAULT_THREADS = 32;
  private static final long LAST_CALLS_SECONDS = 20;
  private static final int DIGITS = 3;

  private static final List<Check> CHECKS =
      List.of(
          new RunsEndCheck(),
          new AtMostOnceCheck(),
          new RefusalsCheck(),
          new AnswersCheck(),
          new HandOverCheck(),
          new PlannedStopCheck(),
          new DocumentCheck(),
          new RoutingCheck(),
          new EvacuationCheck(),
          new DutiesCheck());

  private final Path root;
  private final Path folder;
  private final SoakPlan plan;
  private final Consumer<String> progress;
  private final History history = new History();
  private final Recorder latencies = new Recorder(DIGITS);
  private final JsonHttpClient http = new JsonHttpClient("soak");
  private final SplittableRandom random;
  private volatile boolean loaded = true;
  private int probes;

  /**
   * Returns a run.
   *
   * @param root folder that holds the deploy file and what the build made
   * @param folder takes the processes' output and data; emptied first
   * @param progress hears each second how far the run is
   */
  SoakRun(Path root, Path folder, SoakPlan plan, Consumer<String> progress) {
    this.root = root;
    this.folder = folder;
    this.plan = plan;
    this.progress = progress;
    this.random = new SplittableRandom(plan.seed());
  }

  /**
   * Plays the plan.
   *
   * @throws IOException if the programs can't be started
   */
  SoakReport run() throws IOException, InterruptedException {
    // Control VMs that found an earlier run's data would look for its members.
    SoakSystem.remove(folder);
    Files.createDirectories(folder);
    http.start();
    try (SoakSystem system = new SoakSystem(root, folder, plan, history)) {
      // Whoever interrupts the soak must not leave its processes behind.
      Thread hook = new Thread(system::close, "soak-end");
      Runtime.getRuntime().addShutdownHook(hook);
      try {
        return run(system);
      } finally {
        Runtime.getRuntime().removeShutdownHook(hook);
      }
    } finally {
      http.stop();
    }
  }

  private SoakReport run(SoakSystem system) throws IOException, InterruptedException {
    system.start();
    OperatorLoop operator =
        new OperatorLoop(operatorCalls(system), history, random.split(), () -> loaded);
    EvacuationLoop evacuations =
        new EvacuationLoop(operatorCalls(system), history, random.split(), () -> loaded);
    BooleanSupplier starting = until(START);
    if (!operator.change(starting) || !serves(system, starting).isEmpty()) {
      throw new IOException(
          "the programs do not serve " + START.toSeconds() + " s after their start");
    }
    load(system, List.of(operator, evacuations));
    system.heal();
    Verdict recovery = recover(system, operator, evacuations);
    Verdict stops = new Verdict();
    List<String> late = system.stop();
    stops.judge(late.isEmpty(), String.join(", ", late));
    return report(system, recovery, stops);
  }

  private OperatorCalls operatorCalls(SoakSystem system) {
    return new OperatorCalls(system.operatorAddresses(), random.split(), http);
  }

  private void load(SoakSystem system, List<Runnable> operators) throws InterruptedException {
    ExecutorService threads = Executors.newCachedThreadPool();
    ScheduledExecutorService faults = Executors.newScheduledThreadPool(FAULT_THREADS);
    threads.execute(new StallWatch(history, () -> loaded));
    operators.forEach(threads::execute);
    for (int i = 0; i < plan.callers(); i++) {
      threads.execute(
          new CallerLoop(
              i, system.callerAddresses(), history, random.split(), () -> loaded, latencies));
    }
    FaultPlayer player = new FaultPlayer(system, history);
    for (Fault fault : FaultSchedule.of(plan)) {
      var unused =
          faults.schedule(() -> player.play(fault), fault.atMillis(), TimeUnit.MILLISECONDS);
    }
    for (long second = 0; second < plan.load().toSeconds(); second++) {
      progress.accept(
          String.format(
              "seed %d: %d of %d s, %d requests",
              plan.seed(), second, plan.load().toSeconds(), history.calls().size()));
      TimeUnit.SECONDS.sleep(1);
    }
    faults.shutdown();
    boolean played = faults.awaitTermination(LAST_CALLS_SECONDS, TimeUnit.SECONDS);
    loaded = false;
    threads.shutdown();
    boolean called = threads.awaitTermination(LAST_CALLS_SECONDS, TimeUnit.SECONDS);
    if (!played || !called) {
      faults.shutdownNow();
      threads.shutdownNow();
    }
  }

  private Verdict recover(SoakSystem system, OperatorLoop operator, EvacuationLoop evacuations)
      throws InterruptedException {
    Verdict verdict = new Verdict();
    BooleanSupplier recovering = until(RECOVERY);
    verdict.judge(evacuations.takeBack(recovering), "no failure domain can be taken back");
    List<Integer> silent = serves(system, recovering);
    verdict.judge(
        silent.isEmpty(),
        "routers " + silent + " do not serve " + RECOVERY.toSeconds() + " s later");
    boolean read = operator.read().isPresent();
    while (!read && recovering.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(PROBE_PAUSE_MILLIS);
      read = operator.read().isPresent();
    }
    verdict.judge(read, "no control VM tells the document");
    return verdict;
  }

  private static BooleanSupplier until(Duration limit) {
    long end = System.nanoTime() + limit.toNanos();
    return () -> System.nanoTime() - end < 0;
  }

  /** Asks each router until it has served a request; returns those that didn't in time. */
  private List<Integer> serves(SoakSystem system, BooleanSupplier wanted)
      throws InterruptedException {
    List<InetSocketAddress> routers = system.callerAddresses();
    List<Integer> waiting = new ArrayList<>();
    for (int i = 0; i < routers.size(); i++) {
      waiting.add(i);
    }
    while (!waiting.isEmpty() && wanted.getAsBoolean()) {
      waiting.removeIf(router -> probe(routers.get(router)));
      if (!waiting.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(PROBE_PAUSE_MILLIS);
      }
    }
    return waiting;
  }

  private boolean probe(InetSocketAddress router) {
    RequestId id;
    do {
      probes++;
      id = new RequestId("probe-" + probes);
    } while (Documents.Customer.of(id) != Documents.Customer.STAYS);
    List<HttpHeader> headers =
        List.of(
            new HttpHeader("Host", Documents.HOST),
            new HttpHeader("Attempt-Id", id.value()),
            new HttpHeader("Authorization", "Bearer " + Documents.Customer.of(id).key()),
            new HttpHeader("Deadline-Ms", Long.toString(PROBE_TIMEOUT.toMillis())));
    HttpCall call =
        new HttpCall(
            "POST",
            router,
            CallKind.SAFE.prefix() + id.value(),
            headers,
            CallerLoop.body(id),
            PROBE_TIMEOUT,
            () -> true);
    Either<?, HttpResponse> answer = http.call(call);
    return answer.isRight() && answer.get().isSuccess();
  }

  private SoakReport report(SoakSystem system, Verdict recovery, Verdict stops) {
    Map<String, Verdict> verdicts = new LinkedHashMap<>();
    CHECKS.forEach(check -> verdicts.put(check.promise(), check.judge(history)));
    verdicts.put("service is back after the faults", recovery);
    verdicts.put("a planned stop ends within its grace period", stops);
    return new SoakReport(
        plan,
        verdicts,
        history.spans(),
        history.calls(),
        system.ownEnds(),
        RunsEndCheck.longestPassageNanos(history),
        latencies.getIntervalHistogram());
  }
}
