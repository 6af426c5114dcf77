package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a core without a leader although two of three control VMs run. The control VMs are
 * processes with the programs of the current build.
 */
final class LeaderLossTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  /** Long enough for connections between followers to be idle. */
  private static final long CALM_MILLIS = 2_500;

  private static final long POLL_MILLIS = 20;

  /** How the leader is lost. */
  private enum Loss {
    KILLED,
    SUSPENDED,
    SILENT,
    SILENT_THEN_KILLED,
    /** The leader's messages arrive, but not what it answers to calls. */
    ANSWERS_HELD_BACK,
    /** The open connections between the followers are dead, and the leader is killed. */
    KILLED_WITH_CUT_CONNECTIONS
  }

  private static void lose(SoakSystem system, int leader, Loss loss) throws IOException {
    switch (loss) {
      case KILLED -> system.control(leader).kill();
      case SUSPENDED -> system.control(leader).signal("STOP");
      case SILENT -> system.internalLink(leader).setMode(LinkProxy.Mode.SILENT);
      case SILENT_THEN_KILLED -> {
        system.internalLink(leader).setMode(LinkProxy.Mode.SILENT);
        system.control(leader).kill();
      }
      case ANSWERS_HELD_BACK -> system.internalLink(leader).setMode(LinkProxy.Mode.ONE_WAY);
      default -> {
        controls(system).forEach(control -> system.internalLink(control).cutOpenConnections());
        system.control(leader).kill();
      }
    }
  }

  private static IntStream controls(SoakSystem system) {
    return IntStream.range(0, system.operatorAddresses().size());
  }

  private static int awaitLeader(SoakSystem system, IntPredicate candidate, Duration limit)
      throws InterruptedException {
    BooleanSupplier waiting = SoakRun.within(limit);
    while (waiting.getAsBoolean()) {
      var leader = controls(system).filter(candidate).filter(system::leads).findFirst();
      if (leader.isPresent()) {
        return leader.getAsInt();
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return -1;
  }

  private static int awaitCalm(SoakSystem system) throws InterruptedException {
    BooleanSupplier starting = SoakRun.within(START_TIMEOUT);
    while (!system.allControlsVote() && starting.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
    int leader = awaitLeader(system, control -> true, START_TIMEOUT);
    assertTrue(leader >= 0, "no control VM leads after the start");
    return leader;
  }

  private static void anotherControlLeadsInTime(Loss loss) throws Exception {
    Path folder = ROOT.resolve("target/soak-logs/leader-" + loss.name().toLowerCase(Locale.ROOT));
    SoakSystem.deleteRecursively(folder);
    Files.createDirectories(folder);
    SoakPlan plan = SoakPlan.withDefaults(1, Duration.ofSeconds(1), 1, 3, 1, 1, Set.of());
    try (SoakSystem system = new SoakSystem(ROOT, folder, plan, new History())) {
      for (int control = 0; control < plan.controls(); control++) {
        system.control(control).start();
      }
      int former = awaitCalm(system);
      lose(system, former, loss);
      int leader = awaitLeader(system, control -> control != former, LeaderRecovery.CONTACT_WINDOW);
      assertTrue(
          leader >= 0,
          "no other control VM leads after " + LeaderRecovery.CONTACT_WINDOW + ": " + loss);
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"KILLED", "SUSPENDED", "SILENT", "SILENT_THEN_KILLED"})
  void anotherControlLeadsAfterTheLeaderEnds(Loss loss) throws Exception {
    anotherControlLeadsInTime(loss);
  }

  /** Messages between replicas are not answered by calls, so they arrive from such a leader. */
  @ParameterizedTest
  @EnumSource(names = "ANSWERS_HELD_BACK")
  void anotherControlLeadsIfCallsOfTheLeaderAreNotAnswered(Loss loss) throws Exception {
    anotherControlLeadsInTime(loss);
  }

  /** Votes that are sent over a dead connection are lost without an error. */
  @ParameterizedTest
  @EnumSource(names = "KILLED_WITH_CUT_CONNECTIONS")
  void anotherControlLeadsIfFollowersHaveDeadConnections(Loss loss) throws Exception {
    anotherControlLeadsInTime(loss);
  }
}
