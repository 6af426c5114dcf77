package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.runtime.http.JsonHttpClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.HdrHistogram.Recorder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Routers learn from the platform's list that an upstream leaves while no control VM leads. Guards
 * against routers that keep the list of the last leader for as long as nobody leads. Runs the
 * programs of the current build.
 */
final class LeaderlessDrainTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final int ROUTERS = 3;
  private static final int CONTROLS = 3;
  private static final int CALLERS = 24;
  private static final int LEAVING_UPSTREAM = 0;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  /** Longer than any program counts a leader as alive. */
  private static final long LEADER_LOSS_MILLIS = 2_000;

  /** Time under load after the list shows that the upstream leaves; twice the time allowed. */
  private static final long OBSERVED_MILLIS = 6_000;

  private static final long POLL_MILLIS = 100;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** How control VMs fail. */
  private enum Loss {
    KILLED,
    PAUSED;

    void apply(ProgramProcess control) throws IOException {
      if (this == KILLED) {
        control.kill();
      } else {
        control.signal("STOP");
      }
    }
  }

  private final History history = new History();

  /** One control VM of three runs on; two can't elect a leader without each other. */
  @ParameterizedTest
  @EnumSource(Loss.class)
  void upstreamLeavesWhileOneControlVmRuns(Loss loss) throws Exception {
    assertDrains(loss, CONTROLS - 1);
  }

  /** Routers hear no control VM, while the platform answers. */
  @Test
  void upstreamLeavesWhileNoControlVmRuns() throws Exception {
    assertDrains(Loss.PAUSED, CONTROLS);
  }

  private void assertDrains(Loss loss, int lostControls) throws Exception {
    SoakPlan plan =
        SoakPlan.withDefaults(
            1,
            Duration.ofSeconds(1),
            ROUTERS,
            CONTROLS,
            Documents.MIN_UPSTREAMS,
            CALLERS,
            Set.of());
    Path folder = ROOT.resolve("target/soak-logs/leaderless-" + loss + "-" + lostControls);
    SoakSystem.deleteRecursively(folder);
    Files.createDirectories(folder);
    JsonHttpClient http = new JsonHttpClient("leaderless");
    http.start();
    try (SoakSystem system = new SoakSystem(ROOT, folder, plan, history)) {
      system.start();
      awaitDocument(system, http);
      long listedNanos = loseLeader(system, loss, lostControls);
      long servedLate =
          history.calls().stream()
              .filter(Call::isSuccess)
              .filter(call -> call.sentNanos() - listedNanos > DrainCheck.DRAIN_TIMEOUT_NANOS)
              .count();
      assertTrue(servedLate > CALLERS, servedLate + " requests were served after the time allowed");
      long usedBefore =
          history.arrivals().stream()
              .filter(arrival -> arrival.upstream() == LEAVING_UPSTREAM)
              .map(arrival -> listedNanos - arrival.atNanos())
              .filter(nanos -> nanos > 0 && nanos < LEADER_LOSS_MILLIS * NANOS_PER_MILLI)
              .count();
      assertTrue(usedBefore > 0, "without a leader, the upstream was not used before it left");
      Verdict verdict = new DrainCheck().judge(history);
      assertEquals(List.of(), verdict.violations());
      assertEquals(0, system.refusedReads());
    } finally {
      http.stop();
    }
  }

  private void awaitDocument(SoakSystem system, JsonHttpClient http) throws Exception {
    SplittableRandom random = new SplittableRandom(1);
    OperatorLoop operator =
        new OperatorLoop(
            new OperatorCalls(system.operatorAddresses(), random, http),
            history,
            random,
            () -> true);
    BooleanSupplier starting = SoakRun.within(START_TIMEOUT);
    assertTrue(operator.changeDocument(starting), "no document was acknowledged");
    while (!IntStream.range(0, ROUTERS)
        .allMatch(router -> system.versionInForce(router).orElse(-1) == operator.version())) {
      assertTrue(starting.getAsBoolean(), "the routers didn't get the document");
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  /** Runs load while control VMs fail and an upstream leaves; returns when the list shows it. */
  private long loseLeader(SoakSystem system, Loss loss, int lostControls) throws Exception {
    AtomicBoolean underLoad = new AtomicBoolean(true);
    ExecutorService threads = Executors.newCachedThreadPool();
    threads.execute(new StallDetector(history, underLoad::get));
    for (int i = 0; i < CALLERS; i++) {
      threads.execute(
          new CallerLoop(
              i,
              system.callerAddresses(),
              history,
              new SplittableRandom(i),
              underLoad::get,
              new Recorder(2)));
    }
    TimeUnit.MILLISECONDS.sleep(LEADER_LOSS_MILLIS);
    for (int i = 0; i < lostControls; i++) {
      loss.apply(system.control(i));
    }
    TimeUnit.MILLISECONDS.sleep(LEADER_LOSS_MILLIS);
    long listedNanos = System.nanoTime();
    system.listUpstream(LEAVING_UPSTREAM, true);
    TimeUnit.MILLISECONDS.sleep(OBSERVED_MILLIS);
    underLoad.set(false);
    threads.shutdown();
    assertTrue(threads.awaitTermination(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    return listedNanos;
  }
}
