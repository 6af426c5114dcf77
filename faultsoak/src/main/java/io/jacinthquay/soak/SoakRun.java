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
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.HdrHistogram.Recorder;

/**
 * One run of the soak: starts the programs, applies load and faults, and checks what callers,
 * upstreams, operators and the platform saw.
 *
 * <pre>{@code
 * SoakReport report = new SoakRun(root, folder, plan, progress).run();
 * }</pre>
 */
final class SoakRun {
  /** Long enough for many processes that start at the same time on a busy machine. */
  private static final Duration START_TIMEOUT = Duration.ofSeconds(90);

  /** All routers have to serve again within this time after the last fault. */
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);

  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
  private static final long PROBE_INTERVAL_MILLIS = 100;
  private static final int FAULT_THREADS = 32;
  private static final long FINISH_TIMEOUT_SECONDS = 30;
  private static final int LATENCY_DIGITS = 3;

  /** Two of the link to a router, two of the link to an upstream, and the upstream's. */
  private static final int THREADS_PER_CALLER = 5;

  private static final List<Check> CHECKS =
      List.of(
          new DisconnectCheck(),
          new AtMostOnceCheck(),
          new RejectionCheck(),
          new ResponseCheck(),
          new OrderCheck(),
          new TakeUpCheck(),
          new ForwardedRequestCheck(),
          new PlannedStopCheck(),
          new OwnEndCheck(false),
          new OwnEndCheck(true),
          new LostRequestCheck(),
          new RequestTimeoutCheck(),
          new DocumentCheck(),
          new RoutingCheck(),
          new EvacuationCheck(),
          new DrainCheck(),
          new StatedLimitCheck(),
          new DutyCheck(),
          new RetryBudgetCheck(),
          new RetryShareCheck(),
          new RepeatedDeadlineCheck());

  private final Path root;
  private final Path folder;
  private final SoakPlan plan;
  private final Consumer<String> progress;
  private final History history = new History();
  private final Recorder latencies = new Recorder(LATENCY_DIGITS);
  private final JsonHttpClient http = new JsonHttpClient("soak");
  private final SplittableRandom random;
  private volatile boolean underLoad = true;
  private int probeCount;

  /**
   * Creates a run.
   *
   * @param root folder with the deploy file and the build results
   * @param folder folder for the output and data of the processes; deleted first
   * @param progress receives a progress text each second
   */
  SoakRun(Path root, Path folder, SoakPlan plan, Consumer<String> progress) {
    this.root = root;
    this.folder = folder;
    this.plan = plan;
    this.progress = progress;
    this.random = new SplittableRandom(plan.seed());
  }

  /**
   * Runs the plan and returns the report.
   *
   * @throws IOException if the programs don't start
   */
  SoakReport run() throws IOException, InterruptedException {
    // Control VMs with the data of an earlier run would try to reach the members of that run.
    SoakSystem.deleteRecursively(folder);
    Files.createDirectories(folder);
    http.start();
    try (SoakSystem system = new SoakSystem(root, folder, plan, history)) {
      // Ends the processes also when the soak is interrupted.
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
        new OperatorLoop(operatorCalls(system), history, random.split(), () -> underLoad);
    EvacuationLoop evacuations =
        new EvacuationLoop(operatorCalls(system), history, random.split(), () -> underLoad);
    BooleanSupplier starting = within(START_TIMEOUT);
    if (!operator.changeDocument(starting) || !awaitServing(system, starting).isEmpty()) {
      throw new IOException(
          "the programs did not serve requests within "
              + START_TIMEOUT.toSeconds()
              + " s of their start");
    }
    runLoad(system, List.of(operator, evacuations));
    system.clearFaults();
    Map<String, Verdict> afterFaults = new LinkedHashMap<>();
    afterFaults.put(
        "a control VM leads after the faults",
        new LeaderRecovery(new RunningControls(system, operator), LeaderRecovery.CONTACT_WINDOW)
            .judge(within(RECOVERY_TIMEOUT)));
    afterFaults.put(
        "service is back after the faults", judgeRecovery(system, operator, evacuations));
    DocumentConvergence documents =
        new DocumentConvergence(
            new RunningPrograms(system),
            operator,
            random.split(),
            DocumentConvergence.Limits.DEFAULT);
    if (plan.faults().contains(FaultKind.DISKS_FULL_IN_TURN)) {
      afterFaults.put(
          "after full disks in turn, a change is acknowledged and told",
          new DiskRotation(
                  new RunningControls(system, operator),
                  operator,
                  random.split(),
                  DocumentConvergence.Limits.DEFAULT)
              .judge());
    }
    afterFaults.put("in calm, routers apply a document in time", documents.judgeCalm());
    afterFaults.put(
        "an acknowledged document survives the end of all programs", documents.judgeRestart());
    Verdict stops = new Verdict();
    List<String> killed = system.stop();
    stops.judge(killed.isEmpty(), String.join(", ", killed));
    afterFaults.put("a planned stop ends within its grace period", stops);
    return report(system, afterFaults);
  }

  private OperatorCalls operatorCalls(SoakSystem system) {
    return new OperatorCalls(system.operatorAddresses(), random.split(), http);
  }

  private void runLoad(SoakSystem system, List<Runnable> operators) throws InterruptedException {
    ConnectionThreads.prepare(THREADS_PER_CALLER * plan.callers());
    ExecutorService threads = Executors.newCachedThreadPool();
    ScheduledExecutorService faults = Executors.newScheduledThreadPool(FAULT_THREADS);
    threads.execute(new StallDetector(history, () -> underLoad));
    operators.forEach(threads::execute);
    for (int i = 0; i < plan.routers(); i++) {
      threads.execute(new RetryShareSampler(system, i, history, () -> underLoad));
    }
    for (int i = 0; i < plan.callers(); i++) {
      threads.execute(
          new CallerLoop(
              i, system.callerAddresses(), history, random.split(), () -> underLoad, latencies));
    }
    FaultInjector injector = new FaultInjector(system, history);
    for (Fault fault : FaultSchedule.of(plan)) {
      var unused =
          faults.schedule(() -> injector.inject(fault), fault.startMillis(), TimeUnit.MILLISECONDS);
    }
    for (long second = 0; second < plan.load().toSeconds(); second++) {
      progress.accept(
          String.format(
              "seed %d: %d of %d s, %d requests",
              plan.seed(), second, plan.load().toSeconds(), history.calls().size()));
      TimeUnit.SECONDS.sleep(1);
    }
    faults.shutdown();
    boolean faultsEnded = faults.awaitTermination(FINISH_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    underLoad = false;
    threads.shutdown();
    boolean callersEnded = threads.awaitTermination(FINISH_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!faultsEnded || !callersEnded) {
      faults.shutdownNow();
      threads.shutdownNow();
    }
  }

  private Verdict judgeRecovery(
      SoakSystem system, OperatorLoop operator, EvacuationLoop evacuations)
      throws InterruptedException {
    Verdict verdict = new Verdict();
    BooleanSupplier recovering = within(RECOVERY_TIMEOUT);
    verdict.judge(evacuations.restoreDomain(recovering), "no failure domain can be taken back");
    List<Integer> notServing = awaitServing(system, recovering);
    verdict.judge(
        notServing.isEmpty(),
        "routers " + notServing + " do not serve " + RECOVERY_TIMEOUT.toSeconds() + " s later");
    boolean anyReads = false;
    for (int i = 0; i < system.operatorAddresses().size(); i++) {
      boolean reads = operator.readVersion(i).isPresent();
      while (!reads && recovering.getAsBoolean()) {
        TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
        reads = operator.readVersion(i).isPresent();
      }
      verdict.judge(reads, "control VM " + i + " does not tell the document");
      anyReads |= reads;
    }
    verdict.judge(
        !anyReads || awaitVersion(system, operator, recovering),
        "routers follow versions " + versions(system) + " after the faults");
    return verdict;
  }

  /** Waits until all routers follow the document that the control VMs tell. */
  private static boolean awaitVersion(
      SoakSystem system, OperatorLoop operator, BooleanSupplier keepTrying)
      throws InterruptedException {
    do {
      OptionalLong told = operator.readVersion();
      if (told.isPresent() && versions(system).stream().allMatch(told::equals)) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
    } while (keepTrying.getAsBoolean());
    return false;
  }

  private static List<OptionalLong> versions(SoakSystem system) {
    return IntStream.range(0, system.callerAddresses().size())
        .mapToObj(system::versionInForce)
        .toList();
  }

  /** Returns whether a time from now on has not passed yet. */
  static BooleanSupplier within(Duration limit) {
    long end = System.nanoTime() + limit.toNanos();
    return () -> System.nanoTime() - end < 0;
  }

  /** Probes each router until it serves a request; returns the routers that did not in time. */
  private List<Integer> awaitServing(SoakSystem system, BooleanSupplier keepTrying)
      throws InterruptedException {
    List<InetSocketAddress> routers = system.callerAddresses();
    List<Integer> notServing = new ArrayList<>();
    for (int i = 0; i < routers.size(); i++) {
      notServing.add(i);
    }
    while (!notServing.isEmpty() && keepTrying.getAsBoolean()) {
      notServing.removeIf(router -> probe(routers.get(router)));
      if (!notServing.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
      }
    }
    return notServing;
  }

  private boolean probe(InetSocketAddress router) {
    RequestId id;
    do {
      probeCount++;
      id = new RequestId("probe-" + probeCount);
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
            CallKind.SAFE.pathPrefix() + id.value(),
            headers,
            CallerLoop.body(id),
            PROBE_TIMEOUT,
            () -> true);
    Either<?, HttpResponse> response = http.call(call);
    return response.isRight() && response.get().isSuccess();
  }

  private SoakReport report(SoakSystem system, Map<String, Verdict> afterFaults) {
    Map<String, Verdict> verdicts = new LinkedHashMap<>();
    system.ownEnds().forEach(history::add);
    CHECKS.forEach(check -> verdicts.put(check.guarantee(), check.judge(history)));
    verdicts.putAll(afterFaults);
    return new SoakReport(
        plan,
        verdicts,
        history.faultPeriods(),
        history.calls(),
        DisconnectCheck.longestDisconnectDelayNanos(history),
        latencies.getIntervalHistogram());
  }
}
